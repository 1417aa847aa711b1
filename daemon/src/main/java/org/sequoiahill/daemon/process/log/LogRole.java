package org.sequoiahill.daemon.process.log;

/** Role of a store in its group. */
public enum LogRole {
    /** Receives the log from a leader, or waits for a leader. */
    FOLLOWER,
    /** Asks the voters whether they would elect it, without a new term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Appends the entries of its term. */
    LEADER,
    /** No longer participates: closed, or its storage failed or was refused as stale. */
    STOPPED
}
