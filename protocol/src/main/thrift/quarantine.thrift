/**
 * Requests that were in flight when endpoints died, as exchanged between entries: whole requests
 * between entries of services, traits of requests between entries of a fleet.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** A request that was in flight when endpoints died; one in flight at two deaths is quarantined. */
struct SuspectRequest {
  /**
   * SHA-256 over organisation, method, path with query, and body; for a plain service also over the
   * idempotency key.
   */
  1: binary fingerprint
  /** Random ids of the deaths, so that each counts once; a receiver reads at most two. */
  2: list<i64> deaths
  /** Time since the last death. */
  3: i64 ageMillis
}

struct SuspectList {
  1: common.Sender sender
  2: list<SuspectRequest> suspects
}

/** Served by entries. */
service Suspects {
  /** Notifies an entry of suspects; returns the newest suspects that the receiver knows. */
  SuspectList tell(1: SuspectList suspects)
}

/** A trait of requests that were lost when an endpoint died. */
struct LostTrait {
  /** Service, and part of a prompt or digest of a whole request. */
  1: string trait
  /** Time since the last of these requests was sent to the endpoint. */
  2: i64 sentMillisAgo
}

/** Death of an endpoint, as seen by one entry. */
struct EndpointDeath {
  /** Id and start of the endpoint, so that a death which several entries report counts once. */
  1: string endpoint
  2: i64 ageMillis
  /** Traits of the entry's requests that the endpoint had not begun to answer, or just had. */
  3: list<LostTrait> traits
}

/** A trait of a request that was answered. */
struct AnsweredTrait {
  1: string trait
  /** Time since the endpoint began to answer. */
  2: i64 ageMillis
}

/** What an entry has observed since its last report. */
struct CrashReport {
  1: common.Sender sender
  2: list<EndpointDeath> deaths
  /** Suspected traits of requests that were answered. */
  3: list<AnsweredTrait> answered
  /** Traits that the sender has put under quarantine. */
  4: list<string> quarantined
  /** Traits that the sender will put under quarantine unless a receiver knows of a later answer. */
  5: list<string> suspected
}

/** Served by the entries of a fleet. Lost reports are not resent. */
service Crashes {
  void report(1: CrashReport report)
}
