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
  /** Endpoints of the service in the sender's data centre that serve now. */
  6: i32 serving
  /** True where the endpoint serves nothing, so that its swap takes no capacity away. */
  7: bool idle
}

struct TurnReply {
  1: common.Sender sender
  2: bool granted
  /** Fencing number of the order: term in the high half, revision in the low half. */
  3: i64 fence
  4: i64 leaseMillis
  5: optional string reason
}

/** A wish to draw chunks from the origin beyond the first copy of each region. */
struct OriginLeaseRequest {
  1: common.Sender sender
  2: string versionDigest
  3: i32 versionChunks
  4: i32 chunks
}

struct OriginLeaseReply {
  1: common.Sender sender
  /** Draws granted, from zero to those wanted; less than zero where no leader was reached. */
  2: i32 chunks
}

service Turns {
  TurnReply request(1: TurnRequest request)
  OriginLeaseReply leaseOrigin(1: OriginLeaseRequest request)
}
