package org.sequoiahill.daemon.process.settings;

/** What a daemon does; one daemon may have several roles. */
public enum Role {
    /** Answers callers and keeps the directory of its data centre. */
    ENTRY,
    /** Votes in the replicated log. */
    STORE,
    /** Stands before one endpoint. */
    AGENT
}
