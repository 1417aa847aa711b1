package org.sequoiahill.bench.admission;

import java.time.Duration;

/** A request at a model engine, and what its caller has seen of it. */
final class ModelCall {
    private final int mPromptTokens;
    private final int mOutputTokens;
    private final Listener mListener;
    private int mPendingPromptTokens;
    private int mPendingOutputTokens;

    private ModelCall(int promptTokens, int answerTokens, Listener listener) {
        mPromptTokens = promptTokens;
        mOutputTokens = answerTokens;
        mListener = listener;
        mPendingPromptTokens = promptTokens;
        mPendingOutputTokens = answerTokens;
    }

    static ModelCall of(int promptTokens, int answerTokens, Listener listener) {
        return new ModelCall(promptTokens, answerTokens, listener);
    }

    /** Hears of a call's progress. */
    interface Listener {
        /** Takes an event of the answer. */
        void onEvent(Duration at);

        /** Takes the end of the answer. */
        void onCompleted(Duration at);
    }

    int pendingPromptTokens() {
        return mPendingPromptTokens;
    }

    boolean isDecoding() {
        return mPendingPromptTokens == 0;
    }

    boolean isDone() {
        return mPendingOutputTokens == 0;
    }

    /** Returns the tokens that later ones look back at. */
    int contextTokens() {
        return mPromptTokens - mPendingPromptTokens + mOutputTokens - mPendingOutputTokens;
    }

    /** Reads up to a number of prompt tokens; returns how many. */
    int prefill(int most) {
        int read = Math.min(most, mPendingPromptTokens);
        mPendingPromptTokens -= read;
        return read;
    }

    /** Writes up to a number of tokens as one event. */
    void decode(int most, Duration at) {
        mPendingOutputTokens -= Math.min(most, mPendingOutputTokens);
        mListener.onEvent(at);
        if (isDone()) {
            mListener.onCompleted(at);
        }
    }
}
