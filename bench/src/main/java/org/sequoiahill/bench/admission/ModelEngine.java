package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A simulated engine that batches requests and works in passes: each pass prefills prompts up to a
 * limit of tokens, and every request whose prompt is prefilled decodes some tokens.
 *
 * <p>A pass lasts as long as its decoding steps and its prefill together, so many prompts at once
 * delay the first event of each and lengthen the pauses of all streams in the batch.
 */
final class ModelEngine {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Tokens of context to which {@code stepMillisPerContext} applies. */
    private static final double TOKENS_PER_CONTEXT_UNIT = 1000;

    private final VirtualTime mTime;
    private final EngineParameters mParameters;
    private final List<ModelCall> mRunning = new ArrayList<>();
    private final Deque<ModelCall> mWaiting = new ArrayDeque<>();
    private boolean mIsInPass;
    private boolean mIsLoading;
    private Duration mPassEndsAt = Duration.ZERO;
    private Runnable mOnLoaded = () -> {};
    private boolean mIsLoadPending;

    private ModelEngine(VirtualTime time, EngineParameters parameters) {
        mTime = time;
        mParameters = parameters;
    }

    static ModelEngine of(VirtualTime time, EngineParameters parameters) {
        return new ModelEngine(time, parameters);
    }

    /** Accepts a call unless slots and queue are full; returns whether it did. */
    boolean offer(ModelCall call) {
        if (mWaiting.size() >= mParameters.queueLimit() && mRunning.size() >= mParameters.slots()) {
            return false;
        }
        mWaiting.add(call);
        startPass();
        return true;
    }

    int running() {
        return mRunning.size();
    }

    int waiting() {
        return mWaiting.size();
    }

    /** Returns the prompt tokens of all calls that are not yet prefilled. */
    int pendingPromptTokens() {
        int tokens = 0;
        for (ModelCall call : mRunning) {
            tokens += call.pendingPromptTokens();
        }
        for (ModelCall call : mWaiting) {
            tokens += call.pendingPromptTokens();
        }
        return tokens;
    }

    /**
     * Estimates when a prompt that is sent now would have its first event: at the end of one pass
     * that follows the current one and prefills all pending prompts.
     */
    Duration firstEventAt(int promptTokens) {
        Duration passEnd = mIsInPass ? mPassEndsAt : mTime.now();
        List<ModelCall> decoding = mRunning.stream().filter(ModelCall::isDecoding).toList();
        return passEnd.plus(
                passTime(
                        decoding,
                        mParameters.stepsPerPass(),
                        pendingPromptTokens() + promptTokens));
    }

    /**
     * Estimates the longest pause between events if a prompt were sent now: the length of one pass
     * that prefills all pending prompts.
     */
    Duration pauseAfter(int promptTokens) {
        List<ModelCall> decoding = mRunning.stream().filter(ModelCall::isDecoding).toList();
        return passTime(decoding, mParameters.stepsPerPass(), pendingPromptTokens() + promptTokens);
    }

    /**
     * Loads a version once the running requests have completed; queued requests wait until it is
     * loaded.
     */
    void loadVersion(Runnable onLoaded) {
        mIsLoadPending = true;
        mOnLoaded = onLoaded;
        startPass();
    }

    private void startPass() {
        if (mIsInPass || mIsLoading) {
            return;
        }
        if (mIsLoadPending && mRunning.isEmpty()) {
            startLoad();
            return;
        }
        while (!mIsLoadPending && mRunning.size() < mParameters.slots() && !mWaiting.isEmpty()) {
            mRunning.add(mWaiting.poll());
        }
        if (mRunning.isEmpty()) {
            return;
        }
        mIsInPass = true;
        List<ModelCall> decoding = mRunning.stream().filter(ModelCall::isDecoding).toList();
        int steps = decoding.isEmpty() ? 1 : mParameters.stepsPerPass();
        int prefilled = prefillPrompts(steps * mParameters.maxStepPromptTokens());
        Duration length = passTime(decoding, steps, prefilled);
        mPassEndsAt = mTime.now().plus(length);
        mTime.runAfter(length, () -> endPass(decoding));
    }

    private int prefillPrompts(int max) {
        int left = max;
        for (ModelCall call : mRunning) {
            left -= call.prefill(left);
        }
        return max - left;
    }

    private Duration passTime(List<ModelCall> decoding, int steps, int prefillTokens) {
        double context =
                decoding.stream().mapToInt(ModelCall::contextTokens).sum()
                        / TOKENS_PER_CONTEXT_UNIT;
        double step =
                mParameters.stepMillis()
                        + mParameters.stepMillisPerRequest() * decoding.size()
                        + mParameters.stepMillisPerContext() * context;
        double millis = steps * step + prefillTokens / mParameters.prefillTokensPerMilli();
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    /**
     * Decodes all tokens of a pass for requests whose prompt was prefilled before it, and one token
     * for those whose prefill ended in it.
     */
    private void endPass(List<ModelCall> decodingBefore) {
        mIsInPass = false;
        for (ModelCall call : List.copyOf(mRunning)) {
            if (call.isDecoding()) {
                call.decode(
                        decodingBefore.contains(call) ? mParameters.stepsPerPass() : 1,
                        mTime.now());
            }
        }
        mRunning.removeIf(ModelCall::isDone);
        startPass();
    }

    private void startLoad() {
        mIsLoading = true;
        mTime.runAfter(
                mParameters.loadTime(),
                () -> {
                    mIsLoading = false;
                    mIsLoadPending = false;
                    mOnLoaded.run();
                    startPass();
                });
    }
}
