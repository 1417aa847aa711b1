package org.sequoiahill.daemon.process.log;

/** Why the log did not take a proposal, a read or a change of members. */
public final class LogFailure extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final Kind mKind;

    private LogFailure(Kind kind, String message) {
        super(message);
        mKind = kind;
    }

    /** Returns a failure. */
    public static LogFailure of(Kind kind) {
        return new LogFailure(kind, kind.mMessage);
    }

    /** Returns a failure with a message of its own. */
    public static LogFailure of(Kind kind, String message) {
        return new LogFailure(kind, message);
    }

    /** Returns the kind. */
    public Kind kind() {
        return mKind;
    }

    /** Kinds of failure; all but {@link #OUTCOME_UNKNOWN} mean that nothing was done. */
    public enum Kind {
        /** This store doesn't lead the group. */
        NOT_LEADER("this store doesn't lead the log"),
        /** Too much waits to be committed. */
        BUSY("too many proposals wait to be committed"),
        /** The payload is above the bound. */
        TOO_LARGE("the payload is too large"),
        /** Another change of members isn't committed yet, or the change makes no sense. */
        CHANGE_REFUSED("the change of members can't be made now"),
        /** Storage has failed or was refused by the others. */
        STOPPED("this store has stopped taking part"),
        /** Leadership ended before the proposal was seen to be committed; it may still be. */
        OUTCOME_UNKNOWN("leadership ended; the proposal may or may not be committed");

        private final String mMessage;

        Kind(String message) {
            mMessage = message;
        }
    }
}
