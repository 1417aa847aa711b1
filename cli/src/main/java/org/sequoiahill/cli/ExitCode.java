package org.sequoiahill.cli;

/** Exit status of {@code sequoia}. */
enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** A file can't be read, a local error occurred, or a response was unexpected. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /**
     * The daemon refused the document, the token, the team or the name; also if a document is
     * invalid and was not sent, or the audit trail is not intact.
     */
    REFUSED(3),
    /** A concurrent change was accepted first; the response shows it. */
    CONFLICT(4),
    /** No server or no quorum responded; it is safe to resend with the same change id. */
    UNAVAILABLE(5),
    /** The time of {@code --wait-seconds} elapsed before all replicas were done. */
    NOT_DONE(6);

    private final int mStatus;

    ExitCode(int status) {
        mStatus = status;
    }

    int status() {
        return mStatus;
    }

    /** Returns the exit code for an HTTP status of the operators' API. */
    static ExitCode ofHttp(int status) {
        if (status >= 200 && status < 300) {
            return OK;
        }
        return switch (status) {
            case 409 -> CONFLICT;
            case 502, 503, 504 -> UNAVAILABLE;
            default -> status >= 400 && status < 500 ? REFUSED : FAILED;
        };
    }
}
