include "common.thrift"
namespace java org.sequoiahill.protocol.gen

enum DocumentKind { SERVICE = 1, DATA_CENTRE = 2 }

/** One document as committed; body is JSON text. */
struct Document {
  1: DocumentKind kind
  2: string name
  3: i64 revision
  4: string body
}

struct ConfigurationFetch {
  1: common.Sender sender
  /** Documents with a higher revision than this are asked for. */
  2: i64 afterRevision
}

struct ConfigurationDelta {
  1: common.Sender sender
  2: i64 toRevision
  3: list<Document> documents
  /** Revision that the documents start behind; a receiver that is behind it must fetch again. */
  4: i64 afterRevision
}

struct ConfigurationWrite {
  1: common.Sender sender
  2: string changeId
  3: string actor
  4: DocumentKind kind
  5: string name
  6: i64 replacesRevision
  7: string body
  /** Team whose documents the actor may change; * for all. */
  8: string actorTeam
}

enum WriteStatus { ACCEPTED = 1, CONFLICT = 2, INVALID = 3, FORBIDDEN = 4, UNAVAILABLE = 5 }

struct WriteResult {
  1: common.Sender sender
  2: WriteStatus status
  3: i64 revision
  /** The document that won, where the status is CONFLICT. */
  4: optional Document winner
  5: optional string message
  /** VM that leads the log, where the status is UNAVAILABLE and the receiver knows it. */
  6: optional string leaderVm
}

/** One entry of the log of configuration. */
struct ConfigurationProposal {
  /** Time of the leader that proposed the change, in milliseconds since the epoch. */
  1: i64 proposedAtMillis
  2: ConfigurationWrite write
}

/** One change or refusal; its hash covers every other field and the hash of the entry before. */
struct AuditEntry {
  1: i64 sequence
  2: i64 whenMillis
  3: string actor
  4: string changeId
  5: DocumentKind kind
  6: string name
  7: i64 fromRevision
  8: i64 toRevision
  9: WriteStatus status
  /** Changed values as JSON pointers with the old and the new value, bounded. */
  10: list<string> difference
  11: string message
  12: string previousHash
  13: string hash
}

struct AuditQuery {
  1: common.Sender sender
  /** Entries with a higher sequence are asked for. */
  2: i64 afterSequence
  /** Empty for all. */
  3: string documentName
  4: string actor
  5: i64 sinceMillis
  6: i32 limit
}

struct AuditPage {
  1: common.Sender sender
  2: list<AuditEntry> entries
  /** Sequence and hash of the newest entry, whether it is in the page or not. */
  3: i64 lastSequence
  4: string lastHash
  /** Sequence of the oldest entry that is kept. */
  5: i64 firstSequence
  /** Whether more entries match behind the last of the page. */
  6: bool hasMore
}

/** The answer that a change id got. */
struct ChangeAnswer {
  1: string changeId
  /** SHA-256 of the change, so that another change under the same id is noticed. */
  2: binary fingerprint
  3: WriteResult result
}

/** A version name of a service and the manifest that it is bound to for ever. */
struct VersionBinding {
  1: string serviceName
  2: string versionName
  3: string manifestDigest
}

/** Whole state of the configuration on a store. */
struct ConfigurationState {
  1: i32 formatVersion
  2: i64 revision
  3: list<Document> documents
  4: list<ChangeAnswer> answers
  5: list<VersionBinding> versions
  6: list<AuditEntry> audit
  7: i64 lastSequence
  8: string lastHash
  9: i64 nowMillis
}

service Configuration {
  ConfigurationDelta fetch(1: ConfigurationFetch request)
  /** Tells of a higher revision, so that the receiver fetches; answers with the receiver's own. */
  common.Sender notify(1: common.Sender sender)
  /** Served by stores: another store than the leader answers UNAVAILABLE and names the leader. */
  WriteResult write(1: ConfigurationWrite request)
  /** Served by stores: the audit trail as this store has applied it. */
  AuditPage audit(1: AuditQuery query)
}
