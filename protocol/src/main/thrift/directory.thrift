/**
 * Directory of endpoints: agents announce their endpoints to entries under leases, the entries of a
 * data centre propagate the announcements to each other, and data centres exchange summaries.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** State of an agent's endpoint; valid for the duration of a lease, which must be renewed. */
struct Announcement {
  1: common.Sender sender
  2: string serviceName
  /** HTTP address of the agent for requests and chunks, as host:port. */
  3: string dataAddress
  /** Configured maximum number of concurrent requests. */
  4: i32 capacity
  /** Number of requests that are running. */
  5: i32 running
  /** Not used; always 0. */
  6: i32 waiting
  /** Whether the endpoint accepts requests. */
  7: bool serving
  /** Whether the agent is shutting down. */
  8: bool leaving
  /** Name of the version that is served; empty if there is none. */
  9: string versionName
  /** Manifest digest of the version that is served; empty if there is none. */
  10: string versionDigest
  /** Whether the engine refuses a load order with an outdated fencing number. */
  11: bool checksFencing
  /** Number of chunks of the configured version that the agent holds. */
  12: i32 chunksHeld
  /** Total number of chunks of the configured version. */
  13: i32 chunksStated
  /** Current limit on concurrent requests, from 1 to the capacity. */
  14: i32 limit
  /**
   * Sequence number; increases with each changed announcement and each renewal of an incarnation.
   */
  15: i64 sequence
  /** Hash of the peers that the agent knows; the reply lists the peers only if its hash differs. */
  16: i64 peersHash
  /**
   * Whether the receiver should propagate the announcement to the other entries of its data centre;
   * set for one of the entries that the agent announces to.
   */
  17: bool spread
}

/** Renews the lease of an announcement in which only the load has changed. */
struct Renewal {
  1: string vm
  2: i64 incarnation
  /** Sequence number of the announcement whose lease is renewed. */
  3: i64 announced
  /** Sequence number of this renewal; increases together with those of announcements. */
  4: i64 sequence
  /** Current number of running requests. */
  5: i32 running
  /** Current limit on concurrent requests. */
  6: i32 limit
}

struct RenewRequest {
  1: common.Sender sender
  2: Renewal renewal
  /** Hash of the peers that the agent knows; the reply lists the peers only if its hash differs. */
  3: i64 peersHash
  /** Whether the receiver should propagate the renewal to the other entries of its data centre. */
  4: bool spread
}

/** An agent from which other agents of its service can fetch chunks. */
struct Peer {
  1: string vm
  2: string dataCentre
  /** HTTP address of the agent for requests and chunks, as host:port. */
  3: string dataAddress
  /** Whether the endpoint accepts requests. */
  4: bool serving
}

/** Reply to an announcement or a renewal. */
struct AnnounceReply {
  1: common.Sender sender
  /** Duration of the lease. */
  2: i64 leaseMillis
  /** Agents of the same service in the same data centre; empty if peersSame is set. */
  3: list<Peer> peers
  /** A few agents of the same service in other data centres; empty if peersSame is set. */
  4: list<Peer> elsewhere
  /** Whether the agent's hash equals peersHash, so that both lists are omitted. */
  5: bool peersSame
  /** Hash of both lists of agents. */
  6: i64 peersHash
  /** Whether the entry does not hold the announcement that was to be renewed. */
  7: bool unknownAnnouncement
}

/** Announcements and renewals that an entry propagates to the other entries of its data centre. */
struct Spread {
  1: common.Sender sender
  2: list<Announcement> announcements
  3: list<Renewal> renewals
}

struct SpreadReply {
  1: common.Sender sender
  /** VMs of renewals whose announcement the receiver does not hold. */
  2: list<string> missing
}

/** Summary of the endpoints of one service that serve the same version in a data centre. */
struct ServiceSummary {
  1: string serviceName
  /** First 16 characters of the version's manifest digest. */
  2: string versionDigest
  /** Number of endpoints. */
  3: i32 endpoints
  /** Sum of the endpoints' current limits on concurrent requests. */
  4: i32 capacity
  /** Sum of the endpoints' running requests. */
  5: i32 running
  // Number 6 belonged to a removed field and must not be reused.
  7: optional string versionName
  /** Sum over the endpoints of the chunks that they hold of the configured version. */
  8: optional i64 chunksHeld
  /** Sum over the endpoints of the number of chunks of the configured version. */
  9: optional i64 chunksStated
  /** Lowest configuration revision that an agent of these endpoints holds. */
  10: optional i64 lowestRevision
  /** A few of the agents, as sources of chunks for other data centres. */
  11: optional list<Peer> agents
}

/** Summary of a data centre's endpoints, as one of its entries sees them. */
struct DataCentreSummary {
  1: common.Sender sender
  /** HTTP address of the sending entry for requests, as host:port. */
  2: string dataAddress
  3: list<ServiceSummary> services
  /** Whether the sending entry is draining or its data centre is out of service. */
  4: bool draining
}

/** Served by entries. */
service Directory {
  AnnounceReply announce(1: Announcement announcement)
  AnnounceReply renew(1: RenewRequest request)
  /** Propagates announcements and renewals within a data centre. */
  SpreadReply spread(1: Spread spread)
  /** Exchanges summaries with an entry of another data centre; returns the receiver's summary. */
  DataCentreSummary exchange(1: DataCentreSummary summary)
}
