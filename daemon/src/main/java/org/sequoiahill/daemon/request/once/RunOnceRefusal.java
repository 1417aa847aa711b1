package org.sequoiahill.daemon.request.once;

/** Why a request that must run at most once is refused. */
public enum RunOnceRefusal {
    /** No quorum of the registry has replied; the request was not sent. */
    NO_MAJORITY(true),
    /** The key was used for a request with different content. */
    CONTENT_MISMATCH(true),
    /** The key's outcome is no longer recorded, or another entry has released this attempt. */
    KEY_EXPIRED(false),
    /** The request may have run; this is recorded, and the request never runs again. */
    OUTCOME_UNKNOWN(false),
    /** The request may be running; a resend with the same key may yield its outcome. */
    OUTCOME_PENDING(false);

    private final boolean mIsNotRun;

    RunOnceRefusal(boolean isNotRun) {
        mIsNotRun = isNotRun;
    }

    /** Returns whether this attempt of the request has certainly not run. */
    public boolean isNotRun() {
        return mIsNotRun;
    }
}
