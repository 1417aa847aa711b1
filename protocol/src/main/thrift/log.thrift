/**
 * Replicated logs in the manner of Raft: the messages between the stores of a group, and the
 * records of the files in which a store keeps its part of the log.
 */
include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** A member of a group. */
struct LogMember {
  1: string vm
  /** Incarnation of the member's storage; 0 if not known yet. */
  2: i64 incarnation
  /** Control address, as host:port. */
  3: string address
  /** Whether the member counts towards a quorum; a learner only receives the log. */
  4: bool voter
}

struct LogMembers {
  1: list<LogMember> members
}

/** A store VM and the incarnation of its storage. */
struct LogStoreId {
  1: string vm
  /** Increases with each new, empty data folder; 0 if unknown. */
  2: i64 incarnation
}

enum LogEntryKind {
  /** First entry of a leader's term; its commit also commits the entries of earlier terms. */
  EMPTY = 0,
  /** Command for the state machine. */
  PAYLOAD = 1,
  /** New members of the group; the payload is a serialized LogMembers. */
  MEMBERS = 2
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: LogEntryKind kind
  4: binary payload
}

/** Requests a vote. */
struct LogVoteRequest {
  /** Term of the election. */
  1: i64 forTerm
  /** Whether the candidate only asks if the vote would be granted. */
  2: bool preVote
  /** Whether the leader requested the election in order to transfer leadership. */
  3: bool transfer
  /** Index of the candidate's last entry. */
  4: i64 lastIndex
  /** Term of that entry. */
  5: i64 lastTerm
}

struct LogVoteReply {
  /** Term of the election. */
  1: i64 forTerm
  /** Whether this replies to a pre-vote. */
  2: bool preVote
  /** Whether the vote is granted, or would be. */
  3: bool granted
}

/** Entries to append to the receiver's log; a heartbeat if there are none. */
struct LogAppend {
  /** Index of the entry before the first one; the receiver's log must contain that entry. */
  1: i64 previousIndex
  /** Term of the entry at {@code previousIndex}. */
  2: i64 previousTerm
  /** Commit index of the leader. */
  3: i64 commitIndex
  /** Time of the leader's monotonic clock in nanoseconds, returned in the reply. */
  4: i64 sentAt
  5: list<LogEntry> entries
}

/** Sent once the entries are synced. */
struct LogAppendReply {
  /** Term of the append. */
  1: i64 forTerm
  /** Whether the log contained the previous entry. */
  2: bool matched
  /**
   * Last index known to match the leader's log; without a match, the previous index to try next.
   */
  3: i64 index
  /** {@code sentAt} of the append. */
  4: i64 sentAt
}

/** Part of a snapshot. */
struct LogSnapshotChunk {
  /** Index of the last entry that the snapshot includes. */
  1: i64 index
  /** Term of that entry. */
  2: i64 lastTerm
  /** Members as of that entry. */
  3: LogMembers members
  /** Offset of the chunk in the snapshot, in bytes. */
  4: i32 offset
  /** Size of the whole snapshot, in bytes. */
  5: i32 total
  6: binary data
  /** Time of the leader's monotonic clock in nanoseconds, returned in the reply. */
  7: i64 sentAt
}

struct LogSnapshotReply {
  /** Term of the leader. */
  1: i64 forTerm
  /** Index of the snapshot. */
  2: i64 index
  /** Offset of the next byte that the receiver needs. */
  3: i32 nextOffset
  /** Whether the receiver has synced everything that the snapshot includes. */
  4: bool installed
  /** {@code sentAt} of the chunk. */
  5: i64 sentAt
}

/** Asks the receiver to start an election at once, in order to transfer leadership to it. */
struct LogTransferNow {}

/** Announces a store that has no contact with a leader, and whose data folder may be empty. */
struct LogHello {
  /** Control address of the store, as host:port. */
  1: string address
}

struct LogHelloReply {
  /** Incarnation of the receiver's VM that the group knows; 0 if none. */
  1: i64 knownIncarnation
  /** Whether the receiver is one of the members that bootstrap the group, and so can join it. */
  2: bool founding
  /** Members known to the sender; if {@code founding} is set, those that bootstrap the group. */
  3: LogMembers members
}

/** Refuses a process whose storage is stale or a copy; the process then stops participating. */
struct LogRefused {
  /** Start nonce of the refused process. */
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

/** A message between two stores of a group. */
struct LogMessage {
  1: LogStoreId fromStore
  /** Receiver; any other store drops the message. The incarnation may be 0 in a hello only. */
  2: LogStoreId toStore
  /** Number of the sender's group; 0 if the sender has not joined one. */
  3: i64 cluster
  /** Current term of the sender. */
  4: i64 term
  /** Number of times that the sender's storage has been opened. */
  5: i64 startCount
  /** Random number that identifies the sender's process. */
  6: i64 startNonce
  /** Term that the sender's storage held when its process started. */
  7: i64 startTerm
  /** Index of the last entry that the sender's storage held when its process started. */
  8: i64 startLastIndex
  9: LogBody body
}

/** Messages of one group from one store to another, in the order in which they were sent. */
struct LogDelivery {
  1: common.Sender sender
  2: list<LogMessage> messages
}

/** Reply to a request to list or change the members of a group. */
struct MembersReply {
  1: common.Sender sender
  /** Members known to the replying store. */
  2: LogMembers members
  /** Why the request was not carried out; absent on success. */
  3: optional string failure
  /** VM of the leader, if the replying store knows it. */
  4: optional string leaderVm
}

/** Lists the members of a group, or adds or removes one. */
struct MembersRequest {
  1: common.Sender sender
  /** Whether a store has forwarded the request already, so that it must not be forwarded again. */
  2: bool forwarded
  /** VM to add or remove; absent to list the members only. */
  3: optional string vm
  /** Control address of the VM to add, as host:port; absent to remove the VM. */
  4: optional string address
}

/** Served by the stores of a group; a store in several groups registers it once for each. */
service Log {
  /** Delivers messages; replies to them are delivered as messages too. */
  common.Sender deliver(1: LogDelivery delivery)
  /** Lists or changes the members; a store that is not the leader forwards the request to it. */
  MembersReply members(1: MembersRequest request)
}

/** Content of the identity file of a group's folder. */
struct LogFolderIdentity {
  1: i32 formatVersion
  /** VM that the folder belongs to. */
  2: string vm
  /** Name of the group that the folder belongs to. */
  3: string group
  /** Incarnation of the storage. */
  4: i64 incarnation
  /** Number of times that the folder has been opened. */
  5: i64 starts
  /** Whether the store has joined its group, so that the folder must contain a segment. */
  6: bool joined
}

/** First record of a segment file. */
struct LogSegmentHeader {
  1: i32 formatVersion
  /** VM of the folder that the segment belongs to. */
  2: string vm
  /** Group of that folder. */
  3: string group
  /** Incarnation of that folder's storage. */
  4: i64 incarnation
  /** Index of the snapshot that was current when the segment was started. */
  5: i64 snapshotIndex
  /** Index before the first entry of the segment. */
  6: i64 baseIndex
  /** Term of the entry at {@code baseIndex}. */
  7: i64 baseTerm
}

/** Raft state that must be synced before messages that depend on it are sent. */
struct LogHardState {
  /** Number of the group that the store has joined. */
  1: i64 cluster
  /** Highest term known to the store. */
  2: i64 term
  /** Store that this one voted for in that term. */
  3: optional LogStoreId vote
}

/** Any further record of a segment file: what was stored by one sync. */
struct LogBatch {
  /** New state; absent if it has not changed. */
  1: optional LogHardState hard
  /** Entries; one whose index is already present replaces that entry and all after it. */
  2: list<LogEntry> entries
}

/** First record of a snapshot file; the second record is the serialized state. */
struct LogSnapshotHeader {
  1: i32 formatVersion
  2: string group
  /** Index of the last entry that the snapshot includes. */
  3: i64 index
  /** Term of that entry. */
  4: i64 term
  /** Members as of that entry. */
  5: LogMembers members
}
