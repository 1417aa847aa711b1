/**
 * Configuration of services and data centres: its distribution to all daemons, changes by
 * operators, and the audit trail. This file also defines the entries and snapshots of the
 * configuration log, which the stores replicate.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

enum DocumentKind {
  /** Configuration of a service. */
  SERVICE = 1,
  /** Desired state of a data centre. */
  DATA_CENTRE = 2
}

/** A committed document. */
struct Document {
  1: DocumentKind kind
  /** Name of the service or data centre. */
  2: string name
  /** Configuration revision created by the change that wrote the document. */
  3: i64 revision
  /** JSON text, as the operator wrote it; may contain comments. */
  4: string body
}

/** Requests the documents that have changed since a revision. */
struct ConfigurationFetch {
  1: common.Sender sender
  /** Revision that the requester holds; only documents with a higher revision are returned. */
  2: i64 afterRevision
}

/**
 * Documents that changed between two revisions. A daemon also saves its configuration in this form.
 */
struct ConfigurationDelta {
  1: common.Sender sender
  /** Revision of the configuration once the delta is applied. */
  2: i64 toRevision
  /** Latest text of each document that changed. */
  3: list<Document> documents
  /**
   * Revision that the delta starts from, 0 if it is complete. A receiver with a lower revision must
   * not apply it, since changes in between would be lost.
   */
  4: i64 afterRevision
}

/** A change of one document. */
struct ConfigurationWrite {
  1: common.Sender sender
  /** Id chosen by the client; a resend with the same id gets the result of the first request. */
  2: string changeId
  /** Name of the operator. */
  3: string actor
  4: DocumentKind kind
  5: string name
  /** Revision of the document that the change replaces; 0 for a new document. */
  6: i64 replacesRevision
  /** New text of the document. */
  7: string body
  /** Team whose documents the actor may change; * for all. */
  8: string actorTeam
}

/** Decision on a change. */
enum WriteStatus {
  ACCEPTED = 1,
  /** The document has another revision than the one to be replaced. */
  CONFLICT = 2,
  /** The change is incomplete, invalid or beyond a limit, or reuses the id of another change. */
  INVALID = 3,
  /** The document belongs to another team. */
  FORBIDDEN = 4,
  /** Not decided: no leader or no majority responded in time; it may still be committed later. */
  UNAVAILABLE = 5
}

/** Result of a change. */
struct WriteResult {
  1: common.Sender sender
  2: WriteStatus status
  /**
   * New revision if the status is ACCEPTED; revision of the current document, 0 if there is none,
   * if it is CONFLICT; else the configuration revision known to the sender, or 0.
   */
  3: i64 revision
  /** Current document, if the status is CONFLICT and the document exists. */
  4: optional Document winner
  /** Reason, unless the status is ACCEPTED. */
  5: optional string message
  /** VM of the log's leader, if the status is UNAVAILABLE and the replying store knows it. */
  6: optional string leaderVm
}

/** Payload of an entry of the configuration log. */
struct ConfigurationProposal {
  /** Wall-clock time of the leader that proposed the change, in Unix milliseconds. */
  1: i64 proposedAtMillis
  2: ConfigurationWrite write
}

/** An accepted or refused change; entries form a hash chain. */
struct AuditEntry {
  /** Number of the entry; consecutive, starting at 1. */
  1: i64 sequence
  /** Time of the log at the change, in Unix milliseconds. */
  2: i64 whenMillis
  3: string actor
  4: string changeId
  5: DocumentKind kind
  /** Name of the document. */
  6: string name
  /** Revision of the document that the change was to replace. */
  7: i64 fromRevision
  /** Revision that the change created; 0 if it was refused. */
  8: i64 toRevision
  9: WriteStatus status
  /**
   * Changed values, each as a JSON pointer with the old and the new value; their number and lengths
   * are limited.
   */
  10: list<string> difference
  /** Reason of a refusal; empty if the change was accepted. */
  11: string message
  /** Hash of the previous entry. */
  12: string previousHash
  /** SHA-256, in hexadecimal, over all other fields. */
  13: string hash
}

/** Requests entries of the audit trail; an entry must match all conditions. */
struct AuditQuery {
  1: common.Sender sender
  /** Only entries with a higher sequence number match. */
  2: i64 afterSequence
  /** Name of the document; empty matches all. */
  3: string documentName
  /** Name of the operator; empty matches all. */
  4: string actor
  /** Earliest time of an entry, in Unix milliseconds. */
  5: i64 sinceMillis
  /** Maximum number of entries to return; the store limits it further. */
  6: i32 limit
}

/** The first entries that match a query, as a store has applied them. */
struct AuditPage {
  1: common.Sender sender
  /** Matching entries in the order of their sequence numbers. */
  2: list<AuditEntry> entries
  /** Sequence number of the newest entry of the trail; -1 if the replying daemon is not a store. */
  3: i64 lastSequence
  /** Hash of that entry. */
  4: string lastHash
  /** Sequence number of the oldest entry that is kept. */
  5: i64 firstSequence
  /** Whether further entries match after the last one of the page. */
  6: bool hasMore
}

/** Result of a change, kept so that a resend of the change gets it again. */
struct ChangeAnswer {
  1: string changeId
  /**
   * SHA-256 over actor, kind, name and body of the change, to detect a different change under the
   * same id.
   */
  2: binary fingerprint
  3: WriteResult result
}

/** Binds a version name of a service to a manifest; a binding never changes. */
struct VersionBinding {
  1: string serviceName
  2: string versionName
  /** SHA-256 of the manifest. */
  3: string manifestDigest
}

/** Snapshot of the state machine of the configuration log. */
struct ConfigurationState {
  1: i32 formatVersion
  2: i64 revision
  3: list<Document> documents
  /** Results of the newest changes, oldest first. */
  4: list<ChangeAnswer> answers
  5: list<VersionBinding> versions
  /** Retained entries of the audit trail, oldest first. */
  6: list<AuditEntry> audit
  /** Sequence number of the newest entry of the audit trail. */
  7: i64 lastSequence
  /** Hash of that entry. */
  8: string lastHash
  /** Time of the log: the latest proposal time of the applied changes, in Unix milliseconds. */
  9: i64 nowMillis
}

/** Served by every daemon, except in a fleet. */
service Configuration {
  ConfigurationDelta fetch(1: ConfigurationFetch request)
  /**
   * Announces the sender's revision; a receiver with a lower one fetches the configuration. Returns
   * the receiver's revision.
   */
  common.Sender notify(1: common.Sender sender)
  /**
   * Decides a change. A store that is not the log's leader replies UNAVAILABLE and names the leader
   * if it knows it; any other daemon forwards the change to the leader.
   */
  WriteResult write(1: ConfigurationWrite request)
  /**
   * Reads the audit trail as this store has applied it, which may lag behind the leader. Any other
   * daemon returns an empty page whose last sequence number is -1.
   */
  AuditPage audit(1: AuditQuery query)
}
