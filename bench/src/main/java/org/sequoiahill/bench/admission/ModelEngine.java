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
    private final EngineShape mShape;
    private final List<ModelCall> mRunning = new ArrayList<>();
    private final Deque<ModelCall> mWaiting = new ArrayDeque<>();
    private boolean mIsInPass;
    private boolean mIsLoading;
    private Duration mPassEndsAt = Duration.ZERO;
    private Runnable mLoadWaiting = () -> {};
    private boolean mIsLoadOrdered;

    private ModelEngine(VirtualTime time, EngineShape shape) {
        mTime = time;
        mShape = shape;
    }

    static ModelEngine of(VirtualTime time, EngineShape shape) {
        return new ModelEngine(time, shape);
    }

    /** Takes a call unless the engine is full; returns whether it did. */
    boolean take(ModelCall call) {
        if (mWaiting.size() >= mShape.queue() && mRunning.size() >= mShape.slots()) {
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
    int unread() {
        int unread = 0;
        for (ModelCall call : mRunning) {
            unread += call.unread();
        }
        for (ModelCall call : mWaiting) {
            unread += call.unread();
        }
        return unread;
    }

    /**
     * Returns when a prompt that is sent now would be read and have its first event, if nothing
     * else is sent before.
     */
    Duration firstEventAt(int promptTokens) {
        Duration passEnd = mIsInPass ? mPassEndsAt : mTime.now();
        List<ModelCall> writing = mRunning.stream().filter(ModelCall::isWriting).toList();
        return passEnd.plus(passTime(writing, mShape.stride(), unread() + promptTokens));
    }

    /** Returns how long the longest pause between events would be after a prompt is sent now. */
    Duration pauseAfter(int promptTokens) {
        List<ModelCall> writing = mRunning.stream().filter(ModelCall::isWriting).toList();
        return passTime(writing, mShape.stride(), unread() + promptTokens);
    }

    /** Loads a version once the running requests have ended; waiting ones wait on. */
    void load(Runnable whenLoaded) {
        mIsLoadOrdered = true;
        mLoadWaiting = whenLoaded;
        startPass();
    }

    private void startPass() {
        if (mIsInPass || mIsLoading) {
            return;
        }
        if (mIsLoadOrdered && mRunning.isEmpty()) {
            startLoad();
            return;
        }
        while (!mIsLoadOrdered && mRunning.size() < mShape.slots() && !mWaiting.isEmpty()) {
            mRunning.add(mWaiting.poll());
        }
        if (mRunning.isEmpty()) {
            return;
        }
        mIsInPass = true;
        List<ModelCall> writing = mRunning.stream().filter(ModelCall::isWriting).toList();
        int steps = writing.isEmpty() ? 1 : mShape.stride();
        int read = readPrompts(steps * mShape.chunk());
        Duration length = passTime(writing, steps, read);
        mPassEndsAt = mTime.now().plus(length);
        mTime.runAfter(length, () -> endPass(writing));
    }

    private int readPrompts(int most) {
        int left = most;
        for (ModelCall call : mRunning) {
            left -= call.read(left);
        }
        return most - left;
    }

    private Duration passTime(List<ModelCall> writing, int steps, int read) {
        double context = writing.stream().mapToInt(ModelCall::context).sum() / TOKENS_PER_CONTEXT;
        double step =
                mShape.stepMillis()
                        + mShape.stepMillisPerRequest() * writing.size()
                        + mShape.stepMillisPerContext() * context;
        double millis = steps * step + read / mShape.readTokensPerMilli();
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    /**
     * Lets requests write that were read before the pass, and the first event of those read in it.
     */
    private void endPass(List<ModelCall> wroteBefore) {
        mIsInPass = false;
        for (ModelCall call : List.copyOf(mRunning)) {
            if (call.isWriting()) {
                call.write(wroteBefore.contains(call) ? mShape.stride() : 1, mTime.now());
            }
        }
        mRunning.removeIf(ModelCall::isDone);
        startPass();
    }

    private void startLoad() {
        mIsLoading = true;
        mTime.runAfter(
                mShape.loadTime(),
                () -> {
                    mIsLoading = false;
                    mIsLoadOrdered = false;
                    mLoadWaiting.run();
                    startPass();
                });
    }
}
