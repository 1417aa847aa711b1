package org.sequoiahill.daemon.process.log;

/** Purpose of a log entry. */
public enum EntryKind {
    /** First entry of a leader's term; commits the entries of earlier terms. */
    EMPTY,
    /** Carries a payload for the state machine. */
    PAYLOAD,
    /** Sets the members of the group from this entry on. */
    MEMBERS
}
