package org.sequoiahill.daemon.version.swap;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * Decides the steps that bring an endpoint to the configured version; performs no I/O and reads no
 * clock.
 *
 * <p>The gate, which admits requests to the engine, is open only for a version that the engine has
 * reported since the last order, and that no order in flight can replace. Not thread-safe.
 */
public final class SwapStateMachine {
    private static final int MAX_UNANSWERED_READS = 2;

    private final boolean mChecksFencing;
    private final SwapTiming mTiming;
    private Optional<String> mConfigured = Optional.empty();
    private Set<String> mComplete = Set.of();
    private Optional<LoadOrder> mLastOrder;
    private Optional<String> mServed = Optional.empty();
    private Optional<String> mReported = Optional.empty();

    /** The order to send next: under the swap lease, or the last order again without one. */
    private Optional<LoadOrder> mPreparedOrder = Optional.empty();

    private boolean mIsHoldingLease;
    private boolean mIsDraining;
    private Optional<LoadOrder> mOrderInFlight = Optional.empty();
    private boolean mHasFreshReport;
    private boolean mIsHealthy;
    private boolean mIsAwaitingConfirmation;
    private boolean mIsLeaseRefused;
    private boolean mMayNotResend;
    private int mUnansweredReads;
    private Duration mLeaseExpiry = Duration.ZERO;
    private Duration mOrderExpiry;
    private Duration mLastReadAt = Duration.ZERO;
    private Duration mRetryAt = Duration.ZERO;

    private SwapStateMachine(
            boolean checksFencing,
            SwapTiming timing,
            Optional<LoadOrder> lastOrder,
            Duration orderExpiry) {
        mChecksFencing = checksFencing;
        mTiming = timing;
        mLastOrder = lastOrder;
        mOrderExpiry = orderExpiry;
    }

    /**
     * Returns the state machine of an agent that has just started.
     *
     * @param checksFencing whether the engine refuses an order with an old fencing number
     * @param formerOrder last order that the agent sent before its restart; it may take effect
     *     until {@link SwapTiming#orderLifetime} from now
     */
    public static SwapStateMachine start(
            boolean checksFencing,
            SwapTiming timing,
            Optional<LoadOrder> formerOrder,
            Duration now) {
        Duration orderExpiry =
                formerOrder.isPresent() ? now.plus(timing.orderLifetime()) : Duration.ZERO;
        return new SwapStateMachine(checksFencing, timing, formerOrder, orderExpiry);
    }

    /** The next action of the caller; most are followed by an event that the caller must report. */
    public enum Action {
        /** Do nothing for now. */
        WAIT,
        /** Read which version the engine reports as loaded; {@link #readBack} follows. */
        READ_BACK,
        /**
         * Acquire or renew the swap lease; {@link #leaseGranted} or {@link #leaseRefused} follows.
         */
        ACQUIRE_LEASE,
        /** Refuse new requests; {@link #drained} follows once the running requests have ended. */
        CLOSE_GATE,
        /** Send {@link #order}; {@link #orderCompleted} follows. */
        SEND_ORDER,
        /** Check the health of the engine; {@link #probed} follows. */
        PROBE,
        /** Accept requests for {@link #served}. */
        OPEN_GATE,
        /** Release the swap lease; {@link #leaseReleased} follows. */
        RELEASE_LEASE
    }

    /**
     * Sets the configured version and the complete versions.
     *
     * @param configured digest of the configured version
     * @param complete digests of the versions that are complete and verified
     */
    public void observe(Optional<String> configured, Set<String> complete) {
        mConfigured = configured;
        mComplete = complete;
    }

    /**
     * Returns the digest of the version that requests are accepted for; empty while the gate is
     * closed.
     */
    public Optional<String> served() {
        return mServed;
    }

    /** Returns the digest that a swap lease is requested for; empty if there is none. */
    public String targetDigest() {
        return target().orElse("");
    }

    /**
     * Returns whether the endpoint serves no requests and holds no swap lease, so that a new lease
     * takes away no capacity.
     */
    public boolean isIdle() {
        return mServed.isEmpty() && !mIsDraining && !mIsHoldingLease;
    }

    /** Returns the order to send for {@link Action#SEND_ORDER}. */
    public LoadOrder order() {
        return mOrderInFlight.orElseThrow();
    }

    /** Returns the next action. */
    public Action next(Duration now) {
        if (mIsDraining || mOrderInFlight.isPresent()) {
            return isRenewalDue(now) ? Action.ACQUIRE_LEASE : Action.WAIT;
        }
        return mServed.isPresent() ? nextWhileServing(now) : nextWhileClosed(now);
    }

    /**
     * Records the version that the engine reports; empty if it reports none or does not respond.
     */
    public void readBack(Optional<String> reported, Duration now) {
        mLastReadAt = now;
        mUnansweredReads = reported.isPresent() ? 0 : mUnansweredReads + 1;
        if (!reported.equals(mReported)) {
            mIsHealthy = false;
        }
        mReported = reported;
        mHasFreshReport = reported.isPresent();
        boolean isUnconfirmed = mIsAwaitingConfirmation && !reported.equals(target());
        mIsAwaitingConfirmation = false;
        if (mServed.isEmpty() && (reported.isEmpty() || isUnconfirmed)) {
            mRetryAt = now.plus(mTiming.retryDelay());
        }
    }

    /** Records a swap lease for {@link #targetDigest}, which counts from {@code requestedAt}. */
    public void leaseGranted(long fence, Duration lease, Duration requestedAt) {
        mPreparedOrder = target().map(version -> new LoadOrder(version, fence));
        mLeaseExpiry = requestedAt.plus(lease);
        mIsHoldingLease = true;
        mIsLeaseRefused = false;
        mMayNotResend = false;
    }

    /** Records that no swap lease was granted. */
    public void leaseRefused(Duration now) {
        mRetryAt = now.plus(mTiming.retryDelay());
        mIsLeaseRefused = true;
    }

    /** Records that the last running request has ended. */
    public void drained() {
        mIsDraining = false;
        mHasFreshReport = false;
    }

    /**
     * Records the outcome of the order; if it is unknown, the order may take effect for another
     * {@link SwapTiming#orderLifetime}.
     */
    public void orderCompleted(LoadOrderResult result, Duration now) {
        mLastOrder = result == LoadOrderResult.REFUSED ? mLastOrder : mOrderInFlight;
        mOrderInFlight = Optional.empty();
        mMayNotResend = result == LoadOrderResult.REFUSED;
        mIsAwaitingConfirmation = result == LoadOrderResult.ACCEPTED;
        mHasFreshReport = false;
        mIsHealthy = false;
        if (result == LoadOrderResult.UNKNOWN) {
            mOrderExpiry = now.plus(mTiming.orderLifetime());
        }
        if (result != LoadOrderResult.ACCEPTED) {
            mPreparedOrder = Optional.empty();
            mRetryAt = now.plus(mTiming.retryDelay());
        }
    }

    /** Records the result of a health check. */
    public void probed(boolean isHealthy, Duration now) {
        mIsHealthy = isHealthy;
        if (!isHealthy) {
            mRetryAt = now.plus(mTiming.retryDelay());
            mHasFreshReport = false;
        }
    }

    /** Records that the swap lease has been released. */
    public void leaseReleased() {
        mIsHoldingLease = false;
        mPreparedOrder = Optional.empty();
    }

    private Action nextWhileServing(Duration now) {
        boolean isDifferent = mReported.isPresent() && !mReported.equals(mServed);
        if (isDifferent || mUnansweredReads >= MAX_UNANSWERED_READS) {
            return close();
        }
        if (mUnansweredReads > 0
                || mLastReadAt.plus(mTiming.readBackInterval()).compareTo(now) <= 0) {
            return Action.READ_BACK;
        }
        if (target().isEmpty() || target().equals(mServed)) {
            return mIsHoldingLease ? Action.RELEASE_LEASE : Action.WAIT;
        }
        if (!maySendOrder(now) || mRetryAt.compareTo(now) > 0) {
            return Action.WAIT;
        }
        return hasLease(now) ? close() : Action.ACQUIRE_LEASE;
    }

    private Action nextWhileClosed(Duration now) {
        if (mRetryAt.compareTo(now) > 0) {
            return Action.WAIT;
        }
        if (!mHasFreshReport || isStale(now)) {
            return Action.READ_BACK;
        }
        if (isTargetLoaded() || mayServeLoaded(now)) {
            return mOrderExpiry.compareTo(now) > 0 ? Action.WAIT : open();
        }
        if (target().isEmpty() || !maySendOrder(now)) {
            return Action.WAIT;
        }
        if (!hasLease(now)) {
            return prepareResend() ? send() : Action.ACQUIRE_LEASE;
        }
        return send();
    }

    private Action send() {
        mOrderInFlight = mPreparedOrder;
        return Action.SEND_ORDER;
    }

    private Action open() {
        if (!mIsHealthy) {
            return Action.PROBE;
        }
        mServed = mReported;
        return Action.OPEN_GATE;
    }

    private Action close() {
        mServed = Optional.empty();
        mIsDraining = true;
        mIsHealthy = false;
        return Action.CLOSE_GATE;
    }

    /**
     * Prepares to send the last order again, with the same fencing number and without a new lease,
     * to an engine that has lost its weights; returns false if the order is for another version or
     * was refused.
     */
    private boolean prepareResend() {
        if (mMayNotResend) {
            return false;
        }
        Optional<LoadOrder> lastOrder =
                mLastOrder.filter(order -> target().filter(order.version()::equals).isPresent());
        if (lastOrder.isPresent()) {
            mPreparedOrder = lastOrder;
        }
        return lastOrder.isPresent();
    }

    private boolean isTargetLoaded() {
        return mReported.isPresent() && mReported.equals(target());
    }

    /**
     * Returns whether to serve the loaded version although it is not the target: no swap lease is
     * granted, and the version is complete and that of the last order.
     */
    private boolean mayServeLoaded(Duration now) {
        return mIsLeaseRefused
                && !hasLease(now)
                && mReported.filter(mComplete::contains).isPresent()
                && mReported.equals(mLastOrder.map(LoadOrder::version));
    }

    /**
     * Returns whether the last report is too old, or was made while an earlier order could still
     * take effect.
     */
    private boolean isStale(Duration now) {
        boolean isBeforeOrderExpiry =
                mLastReadAt.compareTo(mOrderExpiry) < 0 && mOrderExpiry.compareTo(now) <= 0;
        return isBeforeOrderExpiry
                || mLastReadAt.plus(mTiming.readBackInterval()).compareTo(now) < 0;
    }

    /**
     * Returns the configured version once it is complete; until then the version of the last order,
     * if that is complete.
     */
    private Optional<String> target() {
        if (mConfigured.filter(mComplete::contains).isPresent()) {
            return mConfigured;
        }
        return mLastOrder.map(LoadOrder::version).filter(mComplete::contains);
    }

    /**
     * An engine that does not check fencing numbers gets no order while an earlier one may still
     * take effect.
     */
    private boolean maySendOrder(Duration now) {
        return mChecksFencing || mOrderExpiry.compareTo(now) <= 0;
    }

    private boolean hasLease(Duration now) {
        return mLeaseExpiry.compareTo(now) > 0
                && mPreparedOrder
                        .filter(order -> target().filter(order.version()::equals).isPresent())
                        .isPresent();
    }

    private boolean isRenewalDue(Duration now) {
        return mIsHoldingLease
                && mRetryAt.compareTo(now) <= 0
                && mLeaseExpiry.minus(mTiming.orderLifetime().dividedBy(2)).compareTo(now) <= 0;
    }
}
