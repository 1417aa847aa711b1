package org.sequoiahill.daemon.connection;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.sequoiahill.daemon.connection.LivenessTracker.PeerState;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * What this process knows of the exchanges that others have sent to it, by request identity.
 *
 * <p>Running exchanges are always known; ended and barred ones for {@link #RETENTION} and up to a
 * bound in number. An exchange that was barred never starts. Of one that may have begun before the
 * table's memory does nothing is claimed.
 */
public final class ExchangeTable {
    /** Time that an exchange is remembered after it has ended or was barred. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /** Longest time that an ask may be on its way; the asking side drops later answers. */
    static final Duration MAX_QUERY_TRANSIT = Duration.ofSeconds(5);

    private final MonotonicClock mClock;
    private final int mMaxEnded;
    private final Map<String, LongSupplier> mRunning = new LinkedHashMap<>();
    private final Map<String, PastExchange> mPast = new LinkedHashMap<>();
    private Duration mCompleteSince;

    private ExchangeTable(MonotonicClock clock, int maxEnded) {
        mClock = clock;
        mMaxEnded = maxEnded;
        mCompleteSince = clock.now();
    }

    /** Returns an empty table that remembers at most {@code maxEnded} past exchanges. */
    public static ExchangeTable of(MonotonicClock clock, int maxEnded) {
        return new ExchangeTable(clock, maxEnded);
    }

    /**
     * What is said of an exchange.
     *
     * @param state its state
     * @param sent bytes of the answer's body that were sent
     */
    public record Report(PeerState state, long sent) {}

    private record PastExchange(boolean isBarred, Duration since) {}

    /**
     * Starts an exchange; {@link #end} must follow where it returns true.
     *
     * @param id identity of the request
     * @param sent counts the bytes sent so far
     * @return false where the exchange is barred or has been here before
     */
    public synchronized boolean begin(String id, LongSupplier sent) {
        if (mPast.containsKey(id) || mRunning.containsKey(id)) {
            return false;
        }
        mRunning.put(id, sent);
        return true;
    }

    /** Notes the end of an exchange. */
    public synchronized void end(String id) {
        if (mRunning.remove(id) != null) {
            remember(id, false);
        }
    }

    /**
     * Says what became of an exchange, and bars one that has certainly not been here.
     *
     * @param id identity of the request
     * @param age time since the exchange was sent, as the asking side knows it
     */
    public synchronized Report reportOrBar(String id, Duration age) {
        LongSupplier running = mRunning.get(id);
        if (running != null) {
            return new Report(PeerState.RUNNING, running.getAsLong());
        }
        PastExchange past = mPast.get(id);
        if (past != null) {
            return new Report(past.isBarred() ? PeerState.BARRED : PeerState.ENDED, 0);
        }
        Duration earliestBegin = mClock.now().minus(age).minus(MAX_QUERY_TRANSIT);
        if (earliestBegin.compareTo(mCompleteSince) <= 0) {
            return new Report(PeerState.UNKNOWN, 0);
        }
        remember(id, true);
        return new Report(PeerState.BARRED, 0);
    }

    /** Returns the past exchanges that are remembered. */
    public synchronized int pastSize() {
        return mPast.size();
    }

    private void remember(String id, boolean isBarred) {
        Duration now = mClock.now();
        mPast.put(id, new PastExchange(isBarred, now));
        Iterator<PastExchange> oldest = mPast.values().iterator();
        boolean isOver = true;
        while (isOver && oldest.hasNext()) {
            Duration since = oldest.next().since();
            isOver = mPast.size() > mMaxEnded || since.plus(RETENTION).compareTo(now) < 0;
            if (isOver) {
                mCompleteSince = since;
                oldest.remove();
            }
        }
    }
}
