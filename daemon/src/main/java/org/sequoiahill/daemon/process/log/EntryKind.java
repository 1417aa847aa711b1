package org.sequoiahill.daemon.process.log;

/** What an entry of the log is for. */
public enum EntryKind {
    /** Opens the term of a leader. */
    EMPTY,
    /** Holds a payload of the state machine. */
    PAYLOAD,
    /** States the members from here on. */
    MEMBERS
}
