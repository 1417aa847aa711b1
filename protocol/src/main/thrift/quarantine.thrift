/**
 * Requests that were in flight when endpoints died, as exchanged between entries. A request that
 * was in flight at two deaths is quarantined.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** A request that was in flight when endpoints died. */
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
