package org.sequoiahill.bench.admission;

import java.time.Duration;

/** A request at a model engine, with its progress in prefilling and decoding. */
final class ModelCall {
    private final int mPromptTokens;
    private final int mOutputTokens;
    private final Listener mListener;
    private int mPendingPromptTokens;
    private int mPendingOutputTokens;

    private ModelCall(int promptTokens, int outputTokens, Listener listener) {
        mPromptTokens = promptTokens;
        mOutputTokens = outputTokens;
        mListener = listener;
        mPendingPromptTokens = promptTokens;
        mPendingOutputTokens = outputTokens;
    }

    static ModelCall of(int promptTokens, int outputTokens, Listener listener) {
        return new ModelCall(promptTokens, outputTokens, listener);
    }

    /** Receives the events of a response. */
    interface Listener {
        /** Called for each event of the response. */
        void onEvent(Duration at);

        /** Called once, after the last event. */
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

    /** Returns the length of the context: prompt tokens prefilled and tokens decoded so far. */
    int contextTokens() {
        return mPromptTokens - mPendingPromptTokens + mOutputTokens - mPendingOutputTokens;
    }

    /** Prefills up to {@code max} prompt tokens; returns how many. */
    int prefill(int max) {
        int tokens = Math.min(max, mPendingPromptTokens);
        mPendingPromptTokens -= tokens;
        return tokens;
    }

    /** Decodes up to {@code max} tokens and delivers them as one event. */
    void decode(int max, Duration at) {
        mPendingOutputTokens -= Math.min(max, mPendingOutputTokens);
        mListener.onEvent(at);
        if (isDone()) {
            mListener.onCompleted(at);
        }
    }
}
