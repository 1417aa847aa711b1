package org.sequoiahill.daemon.process.log;

/** Failure of a proposal, a read or a change of members. */
public final class LogFailure extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final Kind mKind;

    private LogFailure(Kind kind, String message) {
        super(message);
        mKind = kind;
    }

    /** Returns a failure with the default message of its kind. */
    public static LogFailure of(Kind kind) {
        return new LogFailure(kind, kind.mMessage);
    }

    /** Returns a failure with a specific message. */
    public static LogFailure of(Kind kind, String message) {
        return new LogFailure(kind, message);
    }

    /** Returns the kind. */
    public Kind kind() {
        return mKind;
    }

    /** Kinds of failure; all but {@link #OUTCOME_UNKNOWN} mean that the log is unchanged. */
    public enum Kind {
        /**
         * This store doesn't lead or no longer leads, is transferring leadership, or has too many
         * pending reads.
         */
        NOT_LEADER("this store is not the leader of the log"),
        /** Too many calls or bytes are queued, or too many entries or bytes are uncommitted. */
        BUSY("too many calls are queued or uncommitted"),
        /** The payload exceeds the size limit. */
        TOO_LARGE("the payload is too large"),
        /**
         * Leadership is new or being transferred, an earlier change is uncommitted, no quorum is in
         * contact, or the change is invalid.
         */
        CHANGE_REFUSED("the members can't be changed as requested now"),
        /**
         * The store was closed, its storage failed, or other stores refused the storage as stale.
         */
        STOPPED("this store has stopped participating"),
        /**
         * Leadership ended before the proposal was known to be committed; it may still be
         * committed.
         */
        OUTCOME_UNKNOWN("leadership ended; the proposal may or may not be committed");

        private final String mMessage;

        Kind(String message) {
            mMessage = message;
        }
    }
}
