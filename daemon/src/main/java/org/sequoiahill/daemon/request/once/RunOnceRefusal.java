package org.sequoiahill.daemon.request.once;

/** Why a call that may run once gets no answer. */
public enum RunOnceRefusal {
    /** No majority of the registry has answered; nothing was sent. */
    NO_MAJORITY(true),
    /** The key belongs to a call with other content. */
    CONTENT_MISMATCH(true),
    /** The key is too old: what became of its call is no longer on record. */
    KEY_EXPIRED(false),
    /** The call may have run; this is on record, and it never runs again. */
    OUTCOME_UNKNOWN(false),
    /** The call may be running; asking again with the same key may tell more. */
    OUTCOME_PENDING(false);

    private final boolean mIsNotRun;

    RunOnceRefusal(boolean isNotRun) {
        mIsNotRun = isNotRun;
    }

    /** Returns whether this sending of the call has certainly not run. */
    public boolean isNotRun() {
        return mIsNotRun;
    }
}
