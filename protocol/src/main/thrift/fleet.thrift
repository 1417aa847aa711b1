include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** A routing table under the number that its writer gave it. */
struct RoutingPut {
  1: i64 number
  /** The writer's text, deflated. */
  2: binary content
}

struct DataCentreChange {
  1: string dataCentre
  2: bool out
}

struct WeightsChange {
  1: string model
  2: i64 version
}

/** One change of what the stores agree on. */
union FleetChange {
  1: RoutingPut routing
  2: DataCentreChange dataCentre
  3: WeightsChange weights
}

/** What the stores agree on, as of one index of their log. */
struct FleetContent {
  1: i64 index
  /** Number of the routing table, 0 while there is none. */
  2: i64 routingNumber
  /** Left out where the receiver holds this number or did not ask for it. */
  3: optional binary routing
  /** Data centres that are out, with the index of the change. */
  4: map<string, i64> outDataCentres
  /** Data centres that were taken back, with the index of the change. */
  5: map<string, i64> returnedDataCentres
  /** Newest named version of each model. */
  6: map<string, i64> versions
}

enum EndpointState { READY = 0, DRAINING = 1, GONE = 2 }

/** What an endpoint says of itself. */
struct EndpointReport {
  1: string id
  /** Start of the endpoint in Unix milliseconds, 0 where it isn't known. */
  2: i64 startedAt
  3: i64 sequence
  4: string serviceName
  5: string address
  6: string dataCentre
  7: string software
  8: i32 slots
  9: EndpointState state
  10: i64 coldMillis
  11: map<string, i64> versions
}

enum ParticipantRole { ENTRY = 0, STORE = 1, AGENT = 2 }

/** A running daemon. */
struct Participant {
  1: string vm
  2: string name
  3: ParticipantRole role
  4: string dataCentre
  5: string control
  6: i64 incarnation
  /** Rises with each change of the fields below. */
  7: i64 revision
  /** Endpoint beside an agent, as host:port. */
  8: string endpoint
  9: string serviceName
  /** Whether the endpoint is about to change its weights and should get no new requests. */
  10: bool swapping
  11: map<string, i64> versions
}

/** One change of a feed; exactly one of the first two is set unless the key is dropped. */
struct FeedItem {
  1: string key
  2: optional EndpointReport endpoint
  3: optional Participant participant
  4: bool dropped
}

struct WatchRequest {
  1: Participant watcher
  /** Feed that {@code change} belongs to, 0 where none is known. */
  2: i64 feed
  3: i64 change
  4: i64 index
  5: i64 routingNumber
  6: bool wantsRouting
  7: i32 waitMillis
}

struct WatchReply {
  1: i64 feed
  2: i64 change
  /** Whether the items are all that the feed holds. */
  3: bool whole
  4: list<FeedItem> items
  /** Whether the store follows a leader, so that its content is not long behind. */
  5: bool current
  6: optional FleetContent content
  /** Control addresses of the stores. */
  7: list<string> stores
  /** Data centre of the store that answers. */
  8: string dataCentre
}

enum ChangeOutcome { ACCEPTED = 0, UNAVAILABLE = 1 }

struct ChangeReply {
  1: common.Sender sender
  2: ChangeOutcome outcome
  3: string reason
}

struct ChangeRequest {
  1: common.Sender sender
  2: FleetChange change
}

struct ContentRequest {
  1: common.Sender sender
}

struct ContentReply {
  1: common.Sender sender
  /** Left out where the store can't tell that its content is the newest. */
  2: optional FleetContent content
}

/** Endpoint reports that must reach every store, and so every entry, at once. */
struct ReportRelay {
  1: common.Sender sender
  2: EndpointReport report
}

struct RelayReply {
  1: common.Sender sender
}

struct PieceRequest {
  1: common.Sender sender
  2: string model
  3: i64 version
  4: i32 piece
}

struct PieceReply {
  1: common.Sender sender
  /** Left out where the piece can't be had. */
  2: optional binary content
}

service Fleet {
  WatchReply watch(1: WatchRequest request)
  ChangeReply change(1: ChangeRequest request)
  ContentReply content(1: ContentRequest request)
  RelayReply relay(1: ReportRelay relay)
  RelayReply announce(1: Participant participant)
}

struct ManifestRequest {
  1: common.Sender sender
  2: string model
  3: i64 version
}

struct ManifestReply {
  1: common.Sender sender
  /** SHA-256 of each piece, in hexadecimal; empty where the manifest can't be had. */
  2: list<string> digests
}

service Pieces {
  ManifestReply manifest(1: ManifestRequest request)
  PieceReply piece(1: PieceRequest request)
}

/** What an engine did a moment ago, as its agent saw it. */
struct EngineLoad {
  /** Address of the engine, as host:port. */
  1: string endpoint
  2: i32 running
  3: i32 waiting
  /** Time since the engine reported it; whoever passes a load on adds the time that it held it. */
  4: i32 ageMillis
}

/** Loads that one entry passes on to another. */
struct LoadDigest {
  /** Data centre of the entry that passes them on. */
  1: string dataCentre
  2: list<EngineLoad> loads
}

/** Loads of engines; a lost one is made up for by the next. */
service Loads {
  /** Tells the load of the engine beside an agent. */
  void told(1: EngineLoad load)
  /** Passes loads on; they go further only from one data centre to the next. */
  void passedOn(1: LoadDigest digest)
}
