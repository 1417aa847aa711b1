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
}

enum WriteStatus { ACCEPTED = 1, CONFLICT = 2, INVALID = 3, FORBIDDEN = 4, UNAVAILABLE = 5 }

struct WriteResult {
  1: common.Sender sender
  2: WriteStatus status
  3: i64 revision
  /** The document that won, where the status is CONFLICT. */
  4: optional Document winner
  5: optional string message
}

service Configuration {
  ConfigurationDelta fetch(1: ConfigurationFetch request)
  /** Tells of a higher revision, so that the receiver fetches; answers with the receiver's own. */
  common.Sender notify(1: common.Sender sender)
  /** Served by stores: any store passes the write on to the leader. */
  WriteResult write(1: ConfigurationWrite request)
}
