/**
 * Claims of requests that may run at most once. The stores keep them in a replicated log of their
 * own, whose leader serves the calls. This file also defines the entries and snapshots of that log.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** Result of a call on a key. */
enum ClaimStatus {
  /** The requesting attempt holds the key; only a claim returns it. */
  CLAIMED = 1,
  /** The attempt named in the reply holds the key. */
  HELD = 2,
  /** The outcome is recorded; the reply contains it. */
  COMPLETED = 3,
  /** The key was claimed for a request with different content. */
  MISMATCH = 4,
  /**
   * The store is not the leader, the call is incomplete or was not committed in time, or the table
   * of claims is full. A call that was not committed in time may still be committed later.
   */
  UNAVAILABLE = 5,
  /** The outcome of the key is no longer kept, or the attempt was released; it must not run. */
  EXPIRED = 6,
  /** The request may have run, but its outcome is not known; it must not run again. */
  OUTCOME_UNKNOWN = 7,
  /** No attempt holds the key. */
  FREE = 8
}

/** Identifies a request that may run at most once. */
struct ClaimKey {
  1: string organisation
  2: string serviceName
  /** Path of the route that the request matched. */
  3: string route
  /** Key that the caller sent with the request. */
  4: string idempotencyKey
}

/** Response of a request that has run. */
struct Outcome {
  /** HTTP status. */
  1: i32 status
  2: string contentType
  3: binary body
}

/** Claims a key for an attempt, or looks a key up; a look-up uses the key only. */
struct ClaimRequest {
  1: common.Sender sender
  2: ClaimKey key
  /** SHA-256 of the request's method, path with query, and body. */
  3: binary contentDigest
  /** Number of the attempt: Unix milliseconds in the high bits, 22 random low bits. */
  4: i64 attempt
  /** VM of the agent that the attempt is sent to. */
  5: string agentVm
  /** Incarnation of that agent's process. */
  6: i64 agentIncarnation
}

/** Result of a call, with the record of the key if the result concerns one. */
struct ClaimReply {
  1: common.Sender sender
  2: ClaimStatus status
  /** Attempt named in the record; 0 without a record. */
  3: i64 attempt
  /** Recorded response, if the status is COMPLETED. */
  4: optional Outcome outcome
  /** VM of the agent named in the record. */
  5: optional string agentVm
  /** Incarnation of that agent's process. */
  6: i64 agentIncarnation
  /** VM of the log's leader, if the status is UNAVAILABLE and the replying store knows it. */
  7: optional string leaderVm
}

/** Releases the claim of an attempt that has not run and never will. */
struct ReleaseRequest {
  1: common.Sender sender
  2: ClaimKey key
  3: i64 attempt
}

/** Records the outcome of an attempt, or that it is unknown. */
struct CompleteRequest {
  1: common.Sender sender
  2: ClaimKey key
  3: i64 attempt
  /** False if the attempt may have run but its response was lost. */
  4: bool outcomeKnown
  /** Response to record; set if the outcome is known. */
  5: optional Outcome outcome
}

/**
 * Served by stores. Each call is committed to the log; a store that is not its leader replies
 * UNAVAILABLE.
 */
service Claims {
  ClaimReply claim(1: ClaimRequest request)
  ClaimReply lookUp(1: ClaimRequest request)
  ClaimReply release(1: ReleaseRequest request)
  ClaimReply complete(1: CompleteRequest request)
}

/** Payload of an entry of the claims log; exactly one of the requests is set. */
struct ClaimCommand {
  /** Wall-clock time of the leader that proposed the command, in Unix milliseconds. */
  1: i64 proposedAtMillis
  2: optional ClaimRequest claim
  3: optional ClaimRequest lookUp
  4: optional ReleaseRequest release
  5: optional CompleteRequest complete
}

/** State of a recorded claim. */
enum ClaimState {
  /** The attempt holds the key and may run. */
  HELD = 1,
  /** The outcome is recorded. */
  DONE = 2,
  /** The attempt may have run; its outcome is unknown or too large to record. */
  UNKNOWN = 3,
  /** The attempt was released and must not run; another attempt may claim the key. */
  RELEASED = 4
}

/** Record of one key in the state machine of the claims log. */
struct ClaimRecord {
  1: ClaimKey key
  /** Digest that the claim stated; empty if the attempt was released before it claimed the key. */
  2: binary contentDigest
  3: i64 attempt
  4: string agentVm
  5: i64 agentIncarnation
  6: ClaimState state
  /** Recorded response, if the state is DONE. */
  7: optional Outcome outcome
  /** Unix milliseconds, in the time of the log, since which the claim has been in this state. */
  8: i64 sinceMillis
}

/** Keys that expired on one day and must not be claimed again, as hashes. */
struct ExpiredKeys {
  /** Days since the Unix epoch. */
  1: i64 day
  /** First 8 bytes of the SHA-256 of each key, sorted. */
  2: list<i64> hashes
}

/** Snapshot of the state machine of the claims log. */
struct ClaimsSnapshot {
  1: i32 formatVersion
  /** Time of the log: the latest proposal time of the applied commands, in Unix milliseconds. */
  2: i64 nowMillis
  /** Records in the state HELD, in the order in which they expire. */
  3: list<ClaimRecord> held
  /** Records in any other state, in the order in which they expire. */
  4: list<ClaimRecord> finished
  5: list<ExpiredKeys> expired
}
