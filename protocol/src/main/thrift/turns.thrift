include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** An agent's wish to swap its endpoint to a version. */
struct TurnRequest {
  1: common.Sender sender
  2: string serviceName
  3: string versionDigest
  4: i64 serviceRevision
  /** True when the swap ended, so that the turn is given back. */
  5: bool finished
}

struct TurnReply {
  1: common.Sender sender
  2: bool granted
  /** Fencing number of the order: term in the high half, revision in the low half. */
  3: i64 fence
  4: i64 leaseMillis
  5: optional string reason
}

service Turns {
  TurnReply request(1: TurnRequest request)
}
