/**
 * Messages between the daemons of a fleet, which find each other through seeds: the state that the
 * stores replicate, reports of endpoints and daemons, pieces of weights, and loads of engines.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** Replaces the routing table; has no effect unless its number is higher than the current one's. */
struct RoutingPut {
  /** Version number that the operator gave the table. */
  1: i64 number
  /** Text of the table, deflated. */
  2: binary content
}

/** Takes a data centre out of service or returns it to service. */
struct DataCentreChange {
  1: string dataCentre
  /** Whether it is taken out of service. */
  2: bool out
  /**
   * Index of the last change of the data centre when the order was received, 0 if there was none.
   * The change has no effect if the data centre has been changed since, so that a delayed order
   * can't undo a later one. Absent in changes of older releases, which always take effect.
   */
  3: optional i64 expectedIndex
}

/** Publishes a version of a model's weights; has no effect unless it is higher than the newest. */
struct WeightsChange {
  1: string model
  2: i64 version
}

/** Puts a trait of requests under quarantine, or releases it. */
struct QuarantineChange {
  /** Service, and part of a prompt or digest of a whole request. */
  1: string trait
  /** Whether requests with the trait are refused. */
  2: bool quarantined
  /** Number of requests that were admitted to test the trait and crashed their endpoint. */
  3: i32 failedProbes
}

/** A change of the replicated state; the payload of an entry of the fleet log. */
union FleetChange {
  1: RoutingPut routing
  2: DataCentreChange dataCentre
  3: WeightsChange weights
  4: QuarantineChange quarantine
}

/** State that the stores replicate; also the snapshot of the fleet log. */
struct FleetContent {
  /** Index in the log of the last change. */
  1: i64 index
  /** Number of the routing table; 0 while there is none. */
  2: i64 routingNumber
  /**
   * Text of the routing table, deflated; absent if the receiver has this table or did not ask for
   * the text.
   */
  3: optional binary routing
  /** Data centres that are out of service, with the index of the change. */
  4: map<string, i64> outDataCentres
  /** Data centres that were returned to service, with the index of the change. */
  5: map<string, i64> returnedDataCentres
  /** Newest published version of each model. */
  6: map<string, i64> versions
  /** Number of failed probes of each trait under quarantine. */
  7: optional map<string, i32> quarantinedTraits
}

/** State of an endpoint; within one start of the endpoint the value never decreases. */
enum EndpointState {
  /** Accepts requests. */
  READY = 0,
  /** Is shutting down and accepts no new requests. */
  DRAINING = 1,
  /** Has deregistered. */
  GONE = 2
}

/** Report that an endpoint sends about itself to a store. */
struct EndpointReport {
  /** Id that the endpoint chose for itself. */
  1: string id
  /** Start of the endpoint in Unix milliseconds; 0 if unknown. */
  2: i64 startedAt
  /** Sequence number; increases with each report of one start. */
  3: i64 sequence
  4: string serviceName
  /** Address at which it accepts requests, as host:port; empty if a store knows only its id. */
  5: string address
  6: string dataCentre
  /** Version of the endpoint's software, not of its weights. */
  7: string software
  /** Maximum number of concurrent requests. */
  8: i32 slots
  9: EndpointState state
  /** Remaining time of the endpoint's cold phase, as of when this message is sent. */
  10: i64 coldMillis
  /** Loaded version of each model. */
  11: map<string, i64> versions
}

enum ParticipantRole { ENTRY = 0, STORE = 1, AGENT = 2 }

/** Description that a daemon sends of itself. */
struct Participant {
  /** Name of the VM within the fleet: its IP address. */
  1: string vm
  /** Human-readable name of the VM. */
  2: string name
  3: ParticipantRole role
  4: string dataCentre
  /** Address for control messages, as host:port. */
  5: string control
  /** Increases with each start of the daemon. */
  6: i64 incarnation
  /** Increases with each change of {@code swapping} or {@code versions}. */
  7: i64 revision
  /** Address of the engine beside an agent, as host:port; empty if none is configured. */
  8: string endpoint
  /** Service of that engine. */
  9: string serviceName
  /** Whether a serving engine is loading a version or about to; it gets no new requests. */
  10: bool swapping
  /** Version of each model that the engine has loaded. */
  11: map<string, i64> versions
}

/**
 * A change in the feed of a store, which lists the endpoints and daemons that report to it. Either
 * {@code endpoint} or {@code participant} is set, unless the item is dropped.
 */
struct FeedItem {
  /** Identifies the endpoint or daemon within the feed. */
  1: string key
  2: optional EndpointReport endpoint
  3: optional Participant participant
  /** Whether the item was removed because no report arrived within its lease. */
  4: bool dropped
}

/** Long poll of a store; also registers the watching daemon in the store's feed. */
struct WatchRequest {
  1: Participant watcher
  /** Id of the feed that was read last from this store; 0 for none. */
  2: i64 feed
  /** Number of the last change in that feed that the watcher knows. */
  3: i64 change
  /** Index of the replicated state that the watcher has. */
  4: i64 index
  /** Number of the routing table that the watcher has. */
  5: i64 routingNumber
  /** Whether the reply may contain the text of a newer routing table. */
  6: bool wantsRouting
  /** Longest time to wait for changes; the store limits it further. */
  7: i32 waitMillis
}

/** Age of a published version at one store. */
struct VersionAge {
  1: string model
  2: i64 version
  /**
   * Time since the store applied the publication, as of when this message is sent. The version is
   * at least as old: the store may have applied it late, or again after a restart.
   */
  3: i64 ageMillis
}

struct WatchReply {
  /** Id of the feed; random, so it differs after a restart of the store. */
  1: i64 feed
  /** Number of the last change that the items include. */
  2: i64 change
  /** Whether the items are the complete content of the feed rather than changes to it. */
  3: bool whole
  4: list<FeedItem> items
  /**
   * Whether the store's replicated state is nearly up to date: the store is, or is in contact with,
   * the leader and has applied all entries that were committed before the current term.
   */
  5: bool current
  /**
   * Replicated state; absent if the watcher's is not older and the watcher needs no routing table.
   */
  6: optional FleetContent content
  /** Control addresses of the stores, as host:port. */
  7: list<string> stores
  /** Data centre of the replying store. */
  8: string dataCentre
  /**
   * Ages of the recent versions that the store has applied, whether or not the reply has content;
   * older versions are omitted. Absent in replies of older releases.
   */
  9: optional list<VersionAge> versionAges
}

enum ChangeOutcome {
  /** The change is committed, or was already in effect. */
  ACCEPTED = 0,
  /** The change is not known to be committed; it may still be committed later. */
  UNAVAILABLE = 1
}

struct ChangeReply {
  1: common.Sender sender
  2: ChangeOutcome outcome
  /** Explanation of the outcome. */
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
  /** Absent if the store could not confirm that it leads, so that its state may be stale. */
  2: optional FleetContent content
}

/** Report that an endpoint is draining or has gone, for the other stores. */
struct ReportRelay {
  1: common.Sender sender
  2: EndpointReport report
}

/** Acknowledges a relayed report or an announced participant. */
struct RelayReply {
  1: common.Sender sender
}

/** Requests one piece of a version's weights. */
struct PieceRequest {
  1: common.Sender sender
  2: string model
  3: i64 version
  /** Index of the piece, from 0. */
  4: i32 piece
}

struct PieceReply {
  1: common.Sender sender
  /** Content of the piece; absent if the receiver can't provide it. */
  2: optional binary content
}

/** Served by the stores of a fleet. */
service Fleet {
  /** Waits until something has changed that the watcher does not know, and returns it. */
  WatchReply watch(1: WatchRequest request)
  /** Makes a change; UNAVAILABLE if the store is not the leader of the log. */
  ChangeReply change(1: ChangeRequest request)
  /** Returns the latest replicated state, if the store is the leader of the log. */
  ContentReply content(1: ContentRequest request)
  /** Relays a report to another store, before it is acknowledged to the endpoint. */
  RelayReply relay(1: ReportRelay relay)
  /** Announces a change of a daemon's description at once, without waiting for its next poll. */
  RelayReply announce(1: Participant participant)
}

/** Requests the manifest of a version's weights. */
struct ManifestRequest {
  1: common.Sender sender
  2: string model
  3: i64 version
}

struct ManifestReply {
  1: common.Sender sender
  /** SHA-256 of each piece, in hexadecimal; empty if the receiver can't provide the manifest. */
  2: list<string> digests
}

/** Served by entries, which relay manifests and pieces, and by agents, which serve pieces only. */
service Pieces {
  ManifestReply manifest(1: ManifestRequest request)
  PieceReply piece(1: PieceRequest request)
}

/** Load of an engine, as its agent read it. */
struct EngineLoad {
  /** Address of the engine, as host:port. */
  1: string endpoint
  /** Number of requests that the engine processes. */
  2: i32 running
  /** Number of requests that the engine has queued. */
  3: i32 waiting
  /** Time since the agent read it; each relaying entry adds the time for which it held the load. */
  4: i32 ageMillis
}

/** Loads that one entry relays to another. */
struct LoadDigest {
  /** Data centre of the relaying entry. */
  1: string dataCentre
  2: list<EngineLoad> loads
}

/** Served by entries. Lost messages are not resent. */
service Loads {
  /** Reports an engine's load from its agent to the entry that collects loads. */
  void told(1: EngineLoad load)
  /**
   * Relays loads to another entry. An entry relays those from another data centre to the other
   * entries of its own, and those from its own data centre to none.
   */
  void passedOn(1: LoadDigest digest)
}
