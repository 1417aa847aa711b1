package org.sequoiahill.daemon.connection;

import org.eclipse.jetty.io.Content;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * A source that reports to a tracker its progress and whether its reader waits for bytes, and runs
 * a task at its end or failure.
 */
final class MonitoredSource implements Content.Source {
    private final Content.Source mSource;
    private final LivenessTracker mTracker;
    private final MonotonicClock mClock;
    private final Runnable mOnEnd;
    private long mReceived;

    MonitoredSource(
            Content.Source source, LivenessTracker tracker, MonotonicClock clock, Runnable onEnd) {
        mSource = source;
        mTracker = tracker;
        mClock = clock;
        mOnEnd = onEnd;
    }

    @Override
    public Content.Chunk read() {
        Content.Chunk chunk = mSource.read();
        if (chunk == null) {
            return chunk;
        }
        if (chunk.isLast() || Content.Chunk.isFailure(chunk)) {
            mOnEnd.run();
            return chunk;
        }
        mReceived += chunk.remaining();
        mTracker.received(mReceived, mClock.now());
        return chunk;
    }

    @Override
    public void demand(Runnable demandCallback) {
        mTracker.setWaiting(true, mClock.now());
        mSource.demand(
                () -> {
                    mTracker.setWaiting(false, mClock.now());
                    demandCallback.run();
                });
    }

    @Override
    public void fail(Throwable failure) {
        mOnEnd.run();
        mSource.fail(failure);
    }

    @Override
    public long getLength() {
        return mSource.getLength();
    }
}
