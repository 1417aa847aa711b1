include "common.thrift"
namespace java org.sequoiahill.protocol.gen

struct LogMember {
  1: string vm
  2: i64 incarnation
  3: string address
  4: bool voter
}

struct LogMembers {
  1: list<LogMember> members
}

/** Storage of a store VM; the incarnation is new for each empty data folder. */
struct LogStoreId {
  1: string vm
  2: i64 incarnation
}

enum LogEntryKind { EMPTY = 0, PAYLOAD = 1, MEMBERS = 2 }

struct LogEntry {
  1: i64 index
  2: i64 term
  3: LogEntryKind kind
  4: binary payload
}

struct LogVoteRequest {
  1: i64 forTerm
  2: bool preVote
  3: bool transfer
  4: i64 lastIndex
  5: i64 lastTerm
}

struct LogVoteReply {
  1: i64 forTerm
  2: bool preVote
  3: bool granted
}

struct LogAppend {
  1: i64 previousIndex
  2: i64 previousTerm
  3: i64 commitIndex
  4: i64 sentAt
  5: list<LogEntry> entries
}

struct LogAppendReply {
  1: i64 forTerm
  2: bool matched
  3: i64 index
  4: i64 sentAt
}

struct LogSnapshotChunk {
  1: i64 index
  2: i64 lastTerm
  3: LogMembers members
  4: i32 offset
  5: i32 total
  6: binary data
  7: i64 sentAt
}

struct LogSnapshotReply {
  1: i64 forTerm
  2: i64 index
  3: i32 nextOffset
  4: bool installed
  5: i64 sentAt
}

struct LogTransferNow {}

struct LogHello {
  1: string address
}

struct LogHelloReply {
  1: i64 knownIncarnation
  2: bool founding
  3: LogMembers members
}

struct LogRefused {
  1: i64 nonce
}

union LogBody {
  1: LogVoteRequest voteRequest
  2: LogVoteReply voteReply
  3: LogAppend append
  4: LogAppendReply appendReply
  5: LogSnapshotChunk snapshotChunk
  6: LogSnapshotReply snapshotReply
  7: LogTransferNow transferNow
  8: LogHello hello
  9: LogHelloReply helloReply
  10: LogRefused refused
}

struct LogMessage {
  1: LogStoreId fromStore
  2: LogStoreId toStore
  3: i64 cluster
  4: i64 term
  /** How often the sender's storage has been opened, and the random number of its process. */
  5: i64 startCount
  6: i64 startNonce
  /** What the sender's storage held when its process started. */
  7: i64 startTerm
  8: i64 startLastIndex
  9: LogBody body
}

struct LogDelivery {
  1: common.Sender sender
  2: list<LogMessage> messages
}

struct MembersReply {
  1: common.Sender sender
  2: LogMembers members
  /** Why a change was not made; absent where it was. */
  3: optional string failure
  4: optional string leaderVm
}

struct MembersRequest {
  1: common.Sender sender
  /** Whether a store has passed the request on, so that the receiver must not. */
  2: bool forwarded
  /** VM to add or remove; absent where only the members are asked for. */
  3: optional string vm
  /** Control address of the VM to add; absent where it is to be removed. */
  4: optional string address
}

/** Offered once for each group, under the name of the group. */
service Log {
  common.Sender deliver(1: LogDelivery delivery)
  /** Lists or changes members; answered by the leader, to whom any store passes it on. */
  MembersReply members(1: MembersRequest request)
}

/** Who owns a folder of a group. */
struct LogFolderIdentity {
  1: i32 formatVersion
  2: string vm
  3: string group
  4: i64 incarnation
  /** How often the folder has been opened. */
  5: i64 starts
  /** Whether the store has joined its group, so that there must be a segment. */
  6: bool joined
}

/** First record of a segment file. */
struct LogSegmentHeader {
  1: i32 formatVersion
  2: string vm
  3: string group
  4: i64 incarnation
  5: i64 snapshotIndex
  6: i64 baseIndex
  7: i64 baseTerm
}

struct LogHardState {
  1: i64 cluster
  2: i64 term
  3: optional LogStoreId vote
}

/** What is synced at once; each further record of a segment file. */
struct LogBatch {
  1: optional LogHardState hard
  2: list<LogEntry> entries
}

/** First record of a snapshot file; the second is the state itself. */
struct LogSnapshotHeader {
  1: i32 formatVersion
  2: string group
  3: i64 index
  4: i64 term
  5: LogMembers members
}
