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
