package org.sequoiahill.daemon.version.fetch;

/** Why an attempt brought no chunk. */
public enum AttemptFailure {
    /** The peer can't be reached or broke off. */
    UNREACHABLE,
    /** No byte came in time. */
    SILENT,
    /** The bytes have another digest or size than the manifest says. */
    WRONG,
    /** The origin wants fewer requests. */
    THROTTLED,
    /** Another attempt brought the chunk first. */
    SUPERSEDED
}
