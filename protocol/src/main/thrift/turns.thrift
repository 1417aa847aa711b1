/**
 * Leases granted by the leader of the configuration log: turns, which allow agents to swap the
 * version of their endpoints, and downloads of chunks from the origin.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** Requests, renews or releases an agent's lease for swapping its endpoint to a version. */
struct TurnRequest {
  1: common.Sender sender
  2: string serviceName
  /** Manifest digest of the version to load. */
  3: string versionDigest
  /** Configuration revision that the agent holds, not that of the service's document. */
  4: i64 serviceRevision
  /** Whether the swap has ended and the lease is to be released. */
  5: bool finished
  /** Number of endpoints of the service that serve in the sender's data centre. */
  6: i32 serving
  /**
   * Whether the endpoint serves nothing, so that its swap reduces no capacity and is not counted
   * towards the rollout limits.
   */
  7: bool idle
}

/** Reply to a request for a swap lease; a release is answered as not granted. */
struct TurnReply {
  1: common.Sender sender
  2: bool granted
  /**
   * Fencing number of load orders under the lease: term of the log in the high 32 bits,
   * configuration revision in the low 32 bits; 0 if not granted.
   */
  3: i64 fence
  /** Duration of the lease; 0 if not granted. */
  4: i64 leaseMillis
  /** Why no lease was granted. */
  5: optional string reason
}

/** Requests permission to download chunks from the origin beyond the first copy of each region. */
struct OriginLeaseRequest {
  1: common.Sender sender
  /** Manifest digest of the version. */
  2: string versionDigest
  /** Total number of chunks of the version. */
  3: i32 versionChunks
  /** Number of downloads requested. */
  4: i32 chunks
}

struct OriginLeaseReply {
  1: common.Sender sender
  /**
   * Number of downloads granted, from 0 to the number requested; negative if no leader was reached.
   */
  2: i32 chunks
}

/** Served by stores; one that is not the leader of the configuration log forwards calls to it. */
service Turns {
  /** Requests, renews or releases a swap lease. */
  TurnReply request(1: TurnRequest request)
  OriginLeaseReply leaseOrigin(1: OriginLeaseRequest request)
}
