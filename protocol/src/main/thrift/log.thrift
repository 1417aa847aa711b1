include "common.thrift"
namespace java org.sequoiahill.protocol.gen

struct LogEntry {
  1: i64 index
  2: i64 term
  3: binary payload
}

struct AppendRequest {
  1: common.Sender sender
  2: string group
  3: i64 term
  4: i64 previousIndex
  5: i64 previousTerm
  6: list<LogEntry> entries
  7: i64 commitIndex
}

struct AppendReply {
  1: common.Sender sender
  2: i64 term
  3: bool matched
  4: i64 lastIndex
}

service Log {
  AppendReply append(1: AppendRequest request)
}
