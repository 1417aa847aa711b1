package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * An engine that works on a batch in passes: in each pass it reads waiting prompts in pieces, and
 * every request whose prompt is read writes some tokens.
 *
 * <p>A pass lasts as long as its steps and the reading take, so many prompts at once delay the
 * first event of each and lengthen the pauses of all streams that run beside them.
 */
final class ModelEngine {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double TOKENS_PER_CONTEXT = 1000;

    private final VirtualTime mTime;
    private final EngineParameters mParameters;
    private final List<ModelCall> mRunning = new ArrayList<>();
    private final Deque<ModelCall> mWaiting = new ArrayDeque<>();
    private boolean mIsInPass;
    private boolean mIsLoading;
    private Duration mPassEndsAt = Duration.ZERO;
    private Runnable mOnLoaded = () -> {};
    private boolean mIsLoadPending;

    private ModelEngine(VirtualTime time, EngineParameters shape) {
        mTime = time;
        mParameters = shape;
    }

    static ModelEngine of(VirtualTime time, EngineParameters shape) {
        return new ModelEngine(time, shape);
    }

    /** Takes a call unless the engine is full; returns whether it did. */
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

    /** Returns the prompt tokens that are still to be read. */
    int pendingPromptTokens() {
        int unread = 0;
        for (ModelCall call : mRunning) {
            unread += call.pendingPromptTokens();
        }
        for (ModelCall call : mWaiting) {
            unread += call.pendingPromptTokens();
        }
        return unread;
    }

    /**
     * Returns when a prompt that is sent now would be read and have its first event, if nothing
     * else is sent before.
     */
    Duration firstEventAt(int promptTokens) {
        Duration passEnd = mIsInPass ? mPassEndsAt : mTime.now();
        List<ModelCall> writing = mRunning.stream().filter(ModelCall::isDecoding).toList();
        return passEnd.plus(passTime(writing, mParameters.stepsPerPass(), pendingPromptTokens() + promptTokens));
    }

    /** Returns how long the longest pause between events would be after a prompt is sent now. */
    Duration pauseAfter(int promptTokens) {
        List<ModelCall> writing = mRunning.stream().filter(ModelCall::isDecoding).toList();
        return passTime(writing, mParameters.stepsPerPass(), pendingPromptTokens() + promptTokens);
    }

    /** Loads a version once the running requests have ended; waiting ones wait on. */
    void loadVersion(Runnable whenLoaded) {
        mIsLoadPending = true;
        mOnLoaded = whenLoaded;
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
        List<ModelCall> writing = mRunning.stream().filter(ModelCall::isDecoding).toList();
        int steps = writing.isEmpty() ? 1 : mParameters.stepsPerPass();
        int read = prefillPrompts(steps * mParameters.maxStepPromptTokens());
        Duration length = passTime(writing, steps, read);
        mPassEndsAt = mTime.now().plus(length);
        mTime.runAfter(length, () -> endPass(writing));
    }

    private int prefillPrompts(int most) {
        int left = most;
        for (ModelCall call : mRunning) {
            left -= call.prefill(left);
        }
        return most - left;
    }

    private Duration passTime(List<ModelCall> writing, int steps, int read) {
        double context = writing.stream().mapToInt(ModelCall::contextTokens).sum() / TOKENS_PER_CONTEXT;
        double step =
                mParameters.stepMillis()
                        + mParameters.stepMillisPerRequest() * writing.size()
                        + mParameters.stepMillisPerContext() * context;
        double millis = steps * step + read / mParameters.readTokensPerMilli();
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    /**
     * Lets requests write that were read before the pass, and the first event of those read in it.
     */
    private void endPass(List<ModelCall> wroteBefore) {
        mIsInPass = false;
        for (ModelCall call : List.copyOf(mRunning)) {
            if (call.isDecoding()) {
                call.decode(wroteBefore.contains(call) ? mParameters.stepsPerPass() : 1, mTime.now());
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
