include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/**
 * What is recorded for a key. FREE answers a look-up of a key that nobody holds and a release that
 * was carried out; EXPIRED means that the key, or the attempt, is over and must not run.
 */
enum ClaimStatus { CLAIMED = 1, HELD = 2, COMPLETED = 3, MISMATCH = 4, UNAVAILABLE = 5, EXPIRED = 6, OUTCOME_UNKNOWN = 7, FREE = 8 }

/** Key of a call that may run once. */
struct ClaimKey {
  1: string organisation
  2: string serviceName
  3: string route
  4: string idempotencyKey
}

struct Outcome {
  1: i32 status
  2: string contentType
  3: binary body
}

struct ClaimRequest {
  1: common.Sender sender
  2: ClaimKey key
  3: binary contentDigest
  4: i64 attempt
  5: string agentVm
  6: i64 agentIncarnation
}

struct ClaimReply {
  1: common.Sender sender
  2: ClaimStatus status
  3: i64 attempt
  4: optional Outcome outcome
  5: optional string agentVm
  6: i64 agentIncarnation
  /** VM that leads the log, where the status is UNAVAILABLE and the receiver knows it. */
  7: optional string leaderVm
}

struct ReleaseRequest {
  1: common.Sender sender
  2: ClaimKey key
  3: i64 attempt
}

struct CompleteRequest {
  1: common.Sender sender
  2: ClaimKey key
  3: i64 attempt
  4: bool outcomeKnown
  5: optional Outcome outcome
}

service Claims {
  ClaimReply claim(1: ClaimRequest request)
  ClaimReply lookUp(1: ClaimRequest request)
  ClaimReply release(1: ReleaseRequest request)
  ClaimReply complete(1: CompleteRequest request)
}

/** One entry of the log of claims; exactly one of the requests is set. */
struct ClaimCommand {
  /** Time of the leader that proposed the command, in milliseconds since the epoch. */
  1: i64 proposedAtMillis
  2: optional ClaimRequest claim
  3: optional ClaimRequest lookUp
  4: optional ReleaseRequest release
  5: optional CompleteRequest complete
}

enum ClaimState { HELD = 1, DONE = 2, UNKNOWN = 3, RELEASED = 4 }

/** One key as the machine holds it. */
struct ClaimRecord {
  1: ClaimKey key
  2: binary contentDigest
  3: i64 attempt
  4: string agentVm
  5: i64 agentIncarnation
  6: ClaimState state
  7: optional Outcome outcome
  8: i64 sinceMillis
}

/** Keys whose outcome was dropped, as hashes. */
struct ExpiredKeys {
  1: i64 day
  2: list<i64> hashes
}

struct ClaimsSnapshot {
  1: i32 formatVersion
  2: i64 nowMillis
  3: list<ClaimRecord> held
  4: list<ClaimRecord> finished
  5: list<ExpiredKeys> expired
}
