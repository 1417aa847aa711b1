package org.sequoiahill.daemon.process.settings;

/** Role of a daemon; one daemon may have several. */
public enum Role {
    /** Serves callers and maintains the directory of its data centre. */
    ENTRY,
    /** Is a member of the replicated logs. */
    STORE,
    /** Manages one endpoint and forwards requests to it. */
    AGENT
}
