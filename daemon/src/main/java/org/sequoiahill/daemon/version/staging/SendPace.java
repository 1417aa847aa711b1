package org.sequoiahill.daemon.version.staging;

import java.time.Duration;
import java.util.Comparator;
import java.util.TreeSet;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * Spaces the pieces that an agent sends, so that the answers of the engine on the same link wait
 * for one piece at most, and serves the agents that load first before the others.
 */
final class SendPace {
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock mClock;
    private final double mBytesPerSecond;
    private final TreeSet<Turn> mWaiting = new TreeSet<>(Turn.ORDER);
    private Duration mNextAt = Duration.ZERO;
    private long mTurns;

    /**
     * Makes a pace.
     *
     * @param bytesPerSecond rate that pieces may take of the link
     */
    SendPace(MonotonicClock clock, double bytesPerSecond) {
        mClock = clock;
        mBytesPerSecond = bytesPerSecond;
    }

    private record Turn(String agent, long number) {
        static final Comparator<Turn> ORDER =
                Comparator.comparing(Turn::agent, AgentOrder.COMPARATOR)
                        .thenComparingLong(Turn::number);
    }

    /**
     * Waits for an agent's turn to be sent a number of bytes.
     *
     * @return false where the turn did not come within the time
     */
    synchronized boolean await(String agent, int bytes, Duration maxWait)
            throws InterruptedException {
        Turn turn = new Turn(agent, mTurns++);
        mWaiting.add(turn);
        Duration end = mClock.now().plus(maxWait);
        try {
            while (true) {
                Duration now = mClock.now();
                if (turn.equals(mWaiting.first()) && now.compareTo(mNextAt) >= 0) {
                    mNextAt = now.plusNanos((long) (NANOS_PER_SECOND * bytes / mBytesPerSecond));
                    return true;
                }
                if (now.compareTo(end) >= 0) {
                    return false;
                }
                Duration free = mNextAt.compareTo(now) > 0 ? mNextAt : end;
                Duration until = free.compareTo(end) < 0 ? free : end;
                wait(Math.max(1, until.minus(now).toMillis()));
            }
        } finally {
            mWaiting.remove(turn);
            notifyAll();
        }
    }
}
