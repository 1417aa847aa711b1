package org.sequoiahill.daemon.version.fetch;

/** Why an attempt to fetch a chunk failed. */
public enum AttemptFailure {
    /** The source can't be reached, aborted the response, or responded with another error. */
    UNREACHABLE,
    /** The request timed out. */
    SILENT,
    /** The digest or size of the bytes differs from the manifest. */
    WRONG,
    /** The source asks for fewer requests (429 or 503). */
    THROTTLED,
    /** Another attempt writes the chunk now, or the chunk is held already. */
    SUPERSEDED
}
