package org.sequoiahill.cli;

/** What the exit status of {@code sequoia} tells. */
enum ExitCode {
    /** Done. */
    OK(0),
    /** A file, a local fault or an unexpected answer. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The daemon refused: the document, the token, the team or the name. */
    REFUSED(3),
    /** Another change came first; the answer shows it. */
    CONFLICT(4),
    /** No server or no majority answered; a resend with the same change id is safe. */
    UNAVAILABLE(5),
    /** The wait ended before what was waited for. */
    NOT_DONE(6);

    private final int mStatus;

    ExitCode(int status) {
        mStatus = status;
    }

    int status() {
        return mStatus;
    }

    /** Returns the code for an HTTP status of the operators' address. */
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
