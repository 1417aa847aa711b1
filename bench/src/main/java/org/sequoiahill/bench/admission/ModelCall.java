package org.sequoiahill.bench.admission;

import java.time.Duration;

/** A request at a model engine, and what its caller has seen of it. */
final class ModelCall {
    private final int mPromptTokens;
    private final int mAnswerTokens;
    private final Listener mListener;
    private int mUnread;
    private int mUnwritten;

    private ModelCall(int promptTokens, int answerTokens, Listener listener) {
        mPromptTokens = promptTokens;
        mAnswerTokens = answerTokens;
        mListener = listener;
        mUnread = promptTokens;
        mUnwritten = answerTokens;
    }

    static ModelCall of(int promptTokens, int answerTokens, Listener listener) {
        return new ModelCall(promptTokens, answerTokens, listener);
    }

    /** Hears of a call's progress. */
    interface Listener {
        /** Takes an event of the answer. */
        void event(Duration at);

        /** Takes the end of the answer. */
        void ended(Duration at);
    }

    int unread() {
        return mUnread;
    }

    boolean isWriting() {
        return mUnread == 0;
    }

    boolean isDone() {
        return mUnwritten == 0;
    }

    /** Returns the tokens that later ones look back at. */
    int context() {
        return mPromptTokens - mUnread + mAnswerTokens - mUnwritten;
    }

    /** Reads up to a number of prompt tokens; returns how many. */
    int read(int most) {
        int read = Math.min(most, mUnread);
        mUnread -= read;
        return read;
    }

    /** Writes up to a number of tokens as one event. */
    void write(int most, Duration at) {
        mUnwritten -= Math.min(most, mUnwritten);
        mListener.event(at);
        if (isDone()) {
            mListener.ended(at);
        }
    }
}
