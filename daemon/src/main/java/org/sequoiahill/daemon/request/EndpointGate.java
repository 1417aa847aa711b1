package org.sequoiahill.daemon.request;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.gate.EngineLoad;
import org.sequoiahill.daemon.request.gate.SlowStart;

/**
 * Limits the number of concurrent requests at one endpoint and the total size of their bodies, and
 * refuses all requests while the endpoint serves no version or the agent is shutting down.
 *
 * <p>The limit is strict and applies to the requests of all entries together.
 */
public final class EndpointGate {
    /** Time for which only a request that must run alone is admitted. */
    private static final Duration RESERVATION = Duration.ofSeconds(1);

    /** Minimum time between the starts of two reservations. */
    private static final Duration RESERVATION_INTERVAL = Duration.ofSeconds(5);

    private final MonotonicClock mClock;
    private final long mMaxBytes;
    private final SlowStart mLimit;
    private final EngineLoad mEngineLoad = EngineLoad.unknown();
    private final Object mLock = new Object();
    private final Set<Permit> mAwaitingResponse = new LinkedHashSet<>();
    private volatile Consumer<Duration> mFirstByteObserver = firstByte -> {};
    private Optional<String> mDigest = Optional.empty();
    private int mRunning;
    private long mBytes;
    private boolean mIsExclusive;
    private boolean mIsShutDown;
    private Duration mReservedUntil = Duration.ZERO;
    private Duration mNextReservation = Duration.ZERO;
    private CompletableFuture<Void> mIdle = CompletableFuture.completedFuture(null);

    private EndpointGate(MonotonicClock clock, long maxBytes, SlowStart limit) {
        mClock = clock;
        mMaxBytes = maxBytes;
        mLimit = limit;
    }

    /**
     * Returns a closed gate.
     *
     * @param maxBytes limit on the total size of the bodies of concurrent requests
     * @param limit limit on the number of concurrent requests
     */
    public static EndpointGate closed(MonotonicClock clock, long maxBytes, SlowStart limit) {
        return new EndpointGate(clock, maxBytes, limit);
    }

    /** Why a request is refused. */
    public enum RefusalReason {
        /** The endpoint serves no version, or is swapping versions. */
        NOT_SERVING,
        /**
         * The limit on requests or on bytes is reached, or one request must run alone and excludes
         * another.
         */
        FULL,
        /** The agent is shutting down. */
        LEAVING
    }

    /** Result of {@link #enter}. */
    public sealed interface EnterResult {}

    /**
     * The request is refused and has not run.
     *
     * @param cause why the request is refused
     */
    public record Refused(RefusalReason cause) implements EnterResult {}

    /** The request is admitted; the caller must call {@link EndpointGate#release} at its end. */
    public static final class Permit implements EnterResult {
        private final String mDigest;
        private final long mBytes;
        private final Duration mStart;
        private final int mRunningAtStart;

        private Permit(String digest, long bytes, Duration start, int runningAtStart) {
            mDigest = digest;
            mBytes = bytes;
            mStart = start;
            mRunningAtStart = runningAtStart;
        }

        /** Returns the manifest digest of the version served; empty for a plain service. */
        public String digest() {
            return mDigest;
        }
    }

    /**
     * Load of the endpoint.
     *
     * @param running number of running requests
     * @param limit current limit on running requests
     */
    public record Load(int running, int limit) {}

    /**
     * Admits a request, unless the gate is closed or a limit is reached.
     *
     * @param bytes size of the body
     * @param isExclusive whether it must run without concurrent requests
     */
    public EnterResult enter(long bytes, boolean isExclusive) {
        synchronized (mLock) {
            Duration now = mClock.now();
            observeOldestWait(now);
            if (mIsShutDown) {
                return new Refused(RefusalReason.LEAVING);
            }
            if (mDigest.isEmpty()) {
                return new Refused(RefusalReason.NOT_SERVING);
            }
            if (!hasCapacity(now, bytes, isExclusive)) {
                return new Refused(RefusalReason.FULL);
            }
            return admit(now, bytes, isExclusive);
        }
    }

    /** Sets the observer of the time to first byte of each response without a server error. */
    public void observeFirstBytes(Consumer<Duration> observer) {
        mFirstByteObserver = observer;
    }

    /** Records the first byte of a response that is not a server error. */
    public void responseStarted(Permit permit) {
        Duration firstByte = mClock.now().minus(permit.mStart);
        synchronized (mLock) {
            if (!mAwaitingResponse.remove(permit)) {
                return;
            }
            mLimit.responseStarted(firstByte, permit.mRunningAtStart);
        }
        mFirstByteObserver.accept(firstByte);
    }

    /** Records a response with a server error. */
    public void responseFailed(Permit permit) {
        synchronized (mLock) {
            mAwaitingResponse.remove(permit);
            mLimit.responseFailed();
        }
    }

    /** Records that a request failed without a response, or the endpoint was unreachable. */
    public void endpointLost(Permit permit) {
        synchronized (mLock) {
            mAwaitingResponse.remove(permit);
            mLimit.endpointLost();
        }
    }

    /** Releases the permit of a request that has ended. */
    public void release(Permit permit) {
        CompletableFuture<Void> idle;
        synchronized (mLock) {
            mAwaitingResponse.remove(permit);
            mRunning--;
            mBytes -= permit.mBytes;
            mIsExclusive = false;
            if (mRunning > 0) {
                return;
            }
            idle = mIdle;
        }
        idle.complete(null);
    }

    /** Updates the limit by a load report of the engine. */
    public void report(EngineLoad.Report report) {
        synchronized (mLock) {
            mEngineLoad.sampleOwn(mClock.now(), mRunning);
            mEngineLoad.update(report);
        }
    }

    /**
     * Opens the gate for a version and restarts slow start; no effect if the gate is open for it.
     *
     * @param digest manifest digest of the version; empty for a plain service
     */
    public void open(String digest) {
        synchronized (mLock) {
            if (mDigest.isPresent() && mDigest.get().equals(digest)) {
                return;
            }
            mDigest = Optional.of(digest);
            mLimit.restart();
        }
    }

    /** Resets the limit to one request; it grows again with successful responses. */
    public void restartSlowStart() {
        synchronized (mLock) {
            mLimit.endpointLost();
        }
    }

    /** Closes the gate; completes once no request is running. */
    public CompletableFuture<Void> close() {
        synchronized (mLock) {
            mDigest = Optional.empty();
            return mIdle;
        }
    }

    /** Closes the gate permanently, as the agent is shutting down. */
    public void shutDown() {
        synchronized (mLock) {
            mIsShutDown = true;
        }
    }

    /** Returns whether the gate admits requests within its limits. */
    public boolean isOpen() {
        synchronized (mLock) {
            return mDigest.isPresent() && !mIsShutDown;
        }
    }

    /** Returns the number of running requests. */
    public int running() {
        synchronized (mLock) {
            return mRunning;
        }
    }

    /** Returns the current load and limit. */
    public Load load() {
        synchronized (mLock) {
            return new Load(mRunning, limit(mClock.now()));
        }
    }

    private boolean hasCapacity(Duration now, long bytes, boolean isExclusive) {
        if (mIsExclusive || mBytes + bytes > mMaxBytes) {
            return false;
        }
        if (isExclusive) {
            reserve(now);
            return mRunning == 0;
        }
        return now.compareTo(mReservedUntil) >= 0 && mRunning < limit(now);
    }

    /**
     * If requests are running, refuses further ones for {@link #RESERVATION}, so that the running
     * ones drain and a later attempt of the request that must run alone is admitted. No effect
     * within {@link #RESERVATION_INTERVAL} of the last reservation's start.
     */
    private void reserve(Duration now) {
        if (mRunning > 0 && now.compareTo(mNextReservation) >= 0) {
            mReservedUntil = now.plus(RESERVATION);
            mNextReservation = now.plus(RESERVATION_INTERVAL);
        }
    }

    private Permit admit(Duration now, long bytes, boolean isExclusive) {
        if (mRunning == 0) {
            mIdle = new CompletableFuture<>();
        }
        mRunning++;
        mBytes += bytes;
        mIsExclusive = isExclusive;
        if (isExclusive) {
            mReservedUntil = now;
        }
        Permit permit = new Permit(mDigest.orElseThrow(), bytes, now, mRunning);
        mAwaitingResponse.add(permit);
        return permit;
    }

    private int limit(Duration now) {
        return Math.max(1, mLimit.limit() - mEngineLoad.excess(now));
    }

    private void observeOldestWait(Duration now) {
        Iterator<Permit> oldest = mAwaitingResponse.iterator();
        if (oldest.hasNext()) {
            mLimit.oldestWaiting(now.minus(oldest.next().mStart));
        }
    }
}
