package org.sequoiahill.daemon.process.log;

/** What a store does in its group now. */
public enum LogRole {
    /** Receives the log. */
    FOLLOWER,
    /** Asks whether it would be elected. */
    PRE_CANDIDATE,
    /** Asks for votes. */
    CANDIDATE,
    /** Makes the entries of its term. */
    LEADER,
    /** Takes no part any more, since its storage failed or was refused. */
    STOPPED
}
