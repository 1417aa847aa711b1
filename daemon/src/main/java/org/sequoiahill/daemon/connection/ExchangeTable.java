package org.sequoiahill.daemon.connection;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.sequoiahill.daemon.connection.LivenessTracker.PeerState;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * Exchanges that peers have sent to this process, by request id.
 *
 * <p>The table contains all running exchanges, and ended and barred ones for {@link #RETENTION} up
 * to a maximum number. A barred exchange does not start while it is in the table. The status of an
 * exchange that is not in the table is unknown if it may have begun before the last evicted one
 * ended or was barred, or before the table was created.
 */
public final class ExchangeTable {
    /** Time for which an exchange is retained after it has ended or was barred. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /**
     * Maximum transit time of a status query; the querying side counts a query whose response
     * arrives later as failed.
     */
    static final Duration MAX_QUERY_TRANSIT = Duration.ofSeconds(5);

    private final MonotonicClock mClock;
    private final int mMaxPast;
    private final Map<String, LongSupplier> mRunning = new LinkedHashMap<>();
    private final Map<String, PastExchange> mPast = new LinkedHashMap<>();

    /** All exchanges that began after this time are in the table. */
    private Duration mRetainedSince;

    private ExchangeTable(MonotonicClock clock, int maxPast) {
        mClock = clock;
        mMaxPast = maxPast;
        mRetainedSince = clock.now();
    }

    /** Returns an empty table that retains at most {@code maxPast} past exchanges. */
    public static ExchangeTable of(MonotonicClock clock, int maxPast) {
        return new ExchangeTable(clock, maxPast);
    }

    /**
     * Status of an exchange.
     *
     * @param state its state
     * @param sent number of bytes of the response's body that were sent; 0 unless it is running
     */
    public record Report(PeerState state, long sent) {}

    private record PastExchange(boolean isBarred, Duration since) {}

    /**
     * Starts an exchange; if it returns true, the caller must call {@link #end} at its end.
     *
     * @param id id of the request
     * @param sent returns the number of bytes of the response's body sent so far
     * @return false if the exchange is barred or has started before
     */
    public synchronized boolean begin(String id, LongSupplier sent) {
        if (mPast.containsKey(id) || mRunning.containsKey(id)) {
            return false;
        }
        mRunning.put(id, sent);
        return true;
    }

    /** Returns whether an exchange is known to be barred. */
    public synchronized boolean isBarred(String id) {
        PastExchange past = mPast.get(id);
        return past != null && past.isBarred();
    }

    /** Records the end of an exchange. */
    public synchronized void end(String id) {
        if (mRunning.remove(id) != null) {
            retain(id, false);
        }
    }

    /**
     * Returns the status of an exchange, and bars it if it has certainly not started here.
     *
     * @param id id of the request
     * @param age time since the exchange was sent, as measured by the querying side
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
        if (earliestBegin.compareTo(mRetainedSince) <= 0) {
            return new Report(PeerState.UNKNOWN, 0);
        }
        retain(id, true);
        return new Report(PeerState.BARRED, 0);
    }

    /** Returns the number of retained past exchanges. */
    public synchronized int pastSize() {
        return mPast.size();
    }

    private void retain(String id, boolean isBarred) {
        Duration now = mClock.now();
        mPast.put(id, new PastExchange(isBarred, now));
        Iterator<PastExchange> oldest = mPast.values().iterator();
        boolean isEvicted = true;
        while (isEvicted && oldest.hasNext()) {
            Duration since = oldest.next().since();
            isEvicted = mPast.size() > mMaxPast || since.plus(RETENTION).compareTo(now) < 0;
            if (isEvicted) {
                mRetainedSince = since;
                oldest.remove();
            }
        }
    }
}
