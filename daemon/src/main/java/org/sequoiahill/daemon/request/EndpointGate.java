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
 * The last gate before an endpoint: how many requests and bytes it holds, and for which weights.
 *
 * <p>Its limit is hard and shared by all entries.
 */
public final class EndpointGate {
    /** Time for which an endpoint takes nothing but a request that must run alone. */
    private static final Duration RESERVATION = Duration.ofSeconds(1);

    /** Least time between two reservations. */
    private static final Duration RESERVATION_INTERVAL = Duration.ofSeconds(5);

    private final MonotonicClock mClock;
    private final long mMaxBytes;
    private final SlowStart mLimit;
    private final EngineLoad mLoad = EngineLoad.unknown();
    private final Object mLock = new Object();
    private final Set<Permit> mUnanswered = new LinkedHashSet<>();
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
     * @param maxBytes bytes of request bodies that the endpoint is given at once
     * @param limit limit on the requests that the endpoint has at once
     */
    public static EndpointGate closed(MonotonicClock clock, long maxBytes, SlowStart limit) {
        return new EndpointGate(clock, maxBytes, limit);
    }

    /** Why a request is not let in. */
    public enum RefusalReason {
        /** No weights are served, or the endpoint is swapping them. */
        NOT_SERVING,
        /** The endpoint has as many requests or bytes as it bears now. */
        FULL,
        /** The agent is about to stop. */
        LEAVING
    }

    /** What becomes of a request at the gate. */
    public sealed interface EnterResult {}

    /**
     * A request that is not let in and has not run.
     *
     * @param cause why
     */
    public record Refused(RefusalReason cause) implements EnterResult {}

    /** A request that was let in; {@link EndpointGate#release} must follow. */
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

        /** Returns the manifest digest of the weights served, empty for a plain service. */
        public String digest() {
            return mDigest;
        }
    }

    /**
     * What the endpoint has and bears.
     *
     * @param running requests that are running
     * @param limit requests that it bears at once now
     */
    public record Load(int running, int limit) {}

    /**
     * Lets a request in, unless the gate is closed or the endpoint is full.
     *
     * @param bytes size of the body
     * @param isAlone whether it must run beside no other
     */
    public EnterResult enter(long bytes, boolean isAlone) {
        synchronized (mLock) {
            Duration now = mClock.now();
            observeOldestWait(now);
            if (mIsShutDown) {
                return new Refused(RefusalReason.LEAVING);
            }
            if (mDigest.isEmpty()) {
                return new Refused(RefusalReason.NOT_SERVING);
            }
            if (!hasRoom(now, bytes, isAlone)) {
                return new Refused(RefusalReason.FULL);
            }
            return admit(now, bytes, isAlone);
        }
    }

    /** Calls the observer with the time to each first byte from now on. */
    public void observeFirstBytes(Consumer<Duration> observer) {
        mFirstByteObserver = observer;
    }

    /** Notes the first byte of an answer that is no error of the endpoint. */
    public void responseStarted(Permit permit) {
        Duration firstByte = mClock.now().minus(permit.mStart);
        synchronized (mLock) {
            if (!mUnanswered.remove(permit)) {
                return;
            }
            mLimit.responseStarted(firstByte, permit.mRunningAtStart);
        }
        mFirstByteObserver.accept(firstByte);
    }

    /** Notes an answer that is an error of the endpoint. */
    public void responseFailed(Permit permit) {
        synchronized (mLock) {
            mUnanswered.remove(permit);
            mLimit.responseFailed();
        }
    }

    /** Notes that the endpoint was lost while it had a request, or could not be reached. */
    public void endpointLost(Permit permit) {
        synchronized (mLock) {
            mUnanswered.remove(permit);
            mLimit.endpointLost();
        }
    }

    /** Notes the end of a request. */
    public void release(Permit permit) {
        CompletableFuture<Void> idle;
        synchronized (mLock) {
            mUnanswered.remove(permit);
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

    /** Takes a load report of the engine. */
    public void report(EngineLoad.Report report) {
        synchronized (mLock) {
            mLoad.sampleOwn(mClock.now(), mRunning);
            mLoad.update(report);
        }
    }

    /** Opens the gate for weights, from one request on; a plain service has an empty digest. */
    public void open(String digest) {
        synchronized (mLock) {
            if (mDigest.isPresent() && mDigest.get().equals(digest)) {
                return;
            }
            mDigest = Optional.of(digest);
            mLimit.restart();
        }
    }

    /** Lets requests in from one on again. */
    public void restartSlowStart() {
        synchronized (mLock) {
            mLimit.endpointLost();
        }
    }

    /** Closes the gate; completes once no request is left. */
    public CompletableFuture<Void> close() {
        synchronized (mLock) {
            mDigest = Optional.empty();
            return mIdle;
        }
    }

    /** Closes the gate for good, as the agent is about to stop. */
    public void shutDown() {
        synchronized (mLock) {
            mIsShutDown = true;
        }
    }

    /** Returns whether requests are let in while there is room. */
    public boolean isOpen() {
        synchronized (mLock) {
            return mDigest.isPresent() && !mIsShutDown;
        }
    }

    /** Returns the requests that are running. */
    public int running() {
        synchronized (mLock) {
            return mRunning;
        }
    }

    /** Returns what the endpoint has and bears now. */
    public Load load() {
        synchronized (mLock) {
            return new Load(mRunning, limit(mClock.now()));
        }
    }

    private boolean hasRoom(Duration now, long bytes, boolean isAlone) {
        if (mIsExclusive || mBytes + bytes > mMaxBytes) {
            return false;
        }
        if (isAlone) {
            reserve(now);
            return mRunning == 0;
        }
        return now.compareTo(mReservedUntil) >= 0 && mRunning < limit(now);
    }

    /** Keeps others out for a while, so that a request that must run alone gets in at last. */
    private void reserve(Duration now) {
        if (mRunning > 0 && now.compareTo(mNextReservation) >= 0) {
            mReservedUntil = now.plus(RESERVATION);
            mNextReservation = now.plus(RESERVATION_INTERVAL);
        }
    }

    private Permit admit(Duration now, long bytes, boolean isAlone) {
        if (mRunning == 0) {
            mIdle = new CompletableFuture<>();
        }
        mRunning++;
        mBytes += bytes;
        mIsExclusive = isAlone;
        if (isAlone) {
            mReservedUntil = now;
        }
        Permit permit = new Permit(mDigest.orElseThrow(), bytes, now, mRunning);
        mUnanswered.add(permit);
        return permit;
    }

    private int limit(Duration now) {
        return Math.max(1, mLimit.limit() - mLoad.excess(now));
    }

    private void observeOldestWait(Duration now) {
        Iterator<Permit> oldest = mUnanswered.iterator();
        if (oldest.hasNext()) {
            mLimit.oldestWaiting(now.minus(oldest.next().mStart));
        }
    }
}
