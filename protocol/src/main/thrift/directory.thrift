include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** What an agent says of its endpoint; a lease that lapses unless it is renewed. */
struct Announcement {
  1: common.Sender sender
  2: string serviceName
  /** HTTP address for requests and chunks, as host:port. */
  3: string dataAddress
  /** Requests that the endpoint bears at once. */
  4: i32 capacity
  5: i32 running
  6: i32 waiting
  7: bool serving
  8: bool leaving
  9: string versionName
  10: string versionDigest
  11: bool checksFencing
  /** Chunks held of the version stated by the configuration, and the number it has. */
  12: i32 chunksHeld
  13: i32 chunksStated
  /** Requests that the endpoint bears now, 1 to its capacity. */
  14: i32 limit
  /** Rises with each announcement of an incarnation. */
  15: i64 sequence
  /** Hash of the peers that the agent knows; peers are sent only where they differ. */
  16: i64 peersHash
  /** Set for one of the entries that are told; it tells the others of the data centre. */
  17: bool spread
}

/** Renews the lease of an announcement in which nothing but the load has changed. */
struct Renewal {
  1: string vm
  2: i64 incarnation
  /** Sequence of the announcement that is renewed. */
  3: i64 announced
  /** Sequence of this renewal, counted with the announcements. */
  4: i64 sequence
  5: i32 running
  6: i32 limit
}

struct RenewRequest {
  1: common.Sender sender
  2: Renewal renewal
  3: i64 peersHash
  /** As in an announcement. */
  4: bool spread
}

struct Peer {
  1: string vm
  2: string dataCentre
  3: string dataAddress
  /** Whether the endpoint takes new work. */
  4: bool serving
}

struct AnnounceReply {
  1: common.Sender sender
  2: i64 leaseMillis
  /** Agents of the same service in the same data centre; empty where peersSame is set. */
  3: list<Peer> peers
  /** A few agents of the same service in other data centres. */
  4: list<Peer> elsewhere
  5: bool peersSame
  6: i64 peersHash
  /** Set where a renewal names an announcement that the entry does not hold. */
  7: bool unknownAnnouncement
}

/** What an entry has heard from agents, for the other entries of its data centre. */
struct Spread {
  1: common.Sender sender
  2: list<Announcement> announcements
  3: list<Renewal> renewals
}

struct SpreadReply {
  1: common.Sender sender
  /** VMs whose whole announcement is missing. */
  2: list<string> missing
}

/** Summary per service and version that travels between data centres. */
struct ServiceSummary {
  1: string serviceName
  2: string versionDigest
  3: i32 endpoints
  4: i32 capacity
  5: i32 running
  7: optional string versionName
  /** Chunks of the stated version that the endpoints hold together, and that they need together. */
  8: optional i64 chunksHeld
  9: optional i64 chunksStated
  /** Lowest configuration revision in force at one of the endpoints. */
  10: optional i64 lowestRevision
  /** A few of the agents, to draw chunks from. */
  11: optional list<Peer> agents
}

struct DataCentreSummary {
  1: common.Sender sender
  2: string dataAddress
  3: list<ServiceSummary> services
  4: bool draining
}

service Directory {
  AnnounceReply announce(1: Announcement announcement)
  AnnounceReply renew(1: RenewRequest request)
  SpreadReply spread(1: Spread spread)
  DataCentreSummary exchange(1: DataCentreSummary summary)
}
