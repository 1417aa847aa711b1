package org.sequoiahill.daemon.version.swap;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * Decides each step that brings one endpoint to the stated weights; does no I/O and reads no clock.
 *
 * <p>The gate is open only for weights that the engine has reported since the last order and which
 * no order under way can replace. Not safe for use by several threads.
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
    private Optional<LoadOrder> mLeasedOrder = Optional.empty();
    private boolean mIsHoldingLease;
    private boolean mIsDraining;
    private Optional<LoadOrder> mOrderInFlight = Optional.empty();
    private boolean mHasRead;
    private boolean mIsProbed;
    private boolean mIsAwaitingConfirmation;
    private boolean mIsLeaseRefused;
    private boolean mIsResendBarred;
    private int mUnansweredReads;
    private Duration mLeaseExpiry = Duration.ZERO;
    private Duration mOrderExpiry;
    private Duration mLastReadAt = Duration.ZERO;
    private Duration mRetryAt = Duration.ZERO;

    private SwapStateMachine(
            boolean checksFencing,
            SwapTiming timing,
            Optional<LoadOrder> lastOrder,
            Duration quiet) {
        mChecksFencing = checksFencing;
        mTiming = timing;
        mLastOrder = lastOrder;
        mOrderExpiry = quiet;
    }

    /**
     * Returns the machine of an agent that has just started.
     *
     * @param checksFencing whether the engine refuses an order with an old fencing number
     * @param formerOrder last order of an earlier incarnation of the agent; its lease is waited out
     */
    public static SwapStateMachine start(
            boolean checksFencing,
            SwapTiming timing,
            Optional<LoadOrder> formerOrder,
            Duration now) {
        Duration quiet = formerOrder.isPresent() ? now.plus(timing.orderLifetime()) : Duration.ZERO;
        return new SwapStateMachine(checksFencing, timing, formerOrder, quiet);
    }

    /** What the caller does next; each has an event that must follow. */
    public enum Action {
        /** Nothing yet. */
        WAIT,
        /** Ask the engine what it has; {@link #readBack} follows. */
        READ_BACK,
        /** Ask for a turn, or renew it; {@link #leaseGranted} or {@link #leaseRefused} follows. */
        ACQUIRE_LEASE,
        /** Stop new work; {@link #drained} follows once running answers have ended. */
        CLOSE_GATE,
        /** Send {@link #order}; {@link #orderCompleted} follows. */
        SEND_ORDER,
        /** Ask the engine for its health; {@link #probed} follows. */
        PROBE,
        /** Let requests in for {@link #served}. */
        OPEN_GATE,
        /** Give the turn back; {@link #leaseReleased} follows. */
        RELEASE_LEASE
    }

    /**
     * Takes what is stated and what is held whole.
     *
     * @param stated digest that the configuration states
     * @param whole digests that are held whole and checked
     */
    public void observe(Optional<String> stated, Set<String> whole) {
        mConfigured = stated;
        mComplete = whole;
    }

    /** Returns the digest that requests are let in for; empty while the gate is closed. */
    public Optional<String> served() {
        return mServed;
    }

    /** Returns the digest that a turn is asked for. */
    public String targetDigest() {
        return target().orElse("");
    }

    /** Returns whether an asked turn takes no capacity away. */
    public boolean isIdle() {
        return mServed.isEmpty() && !mIsDraining && !mIsHoldingLease;
    }

    /** Returns the order that {@link Action#SEND_ORDER} sends. */
    public LoadOrder order() {
        return mOrderInFlight.orElseThrow();
    }

    /** Returns what to do now. */
    public Action next(Duration now) {
        if (mIsDraining || mOrderInFlight.isPresent()) {
            return isRenewalDue(now) ? Action.ACQUIRE_LEASE : Action.WAIT;
        }
        return mServed.isPresent() ? nextWhileServing(now) : nextWhileClosed(now);
    }

    /** Takes what the engine reports; empty where it is silent. */
    public void readBack(Optional<String> reported, Duration now) {
        mLastReadAt = now;
        mUnansweredReads = reported.isPresent() ? 0 : mUnansweredReads + 1;
        if (!reported.equals(mReported)) {
            mIsProbed = false;
        }
        mReported = reported;
        mHasRead = reported.isPresent();
        boolean isUnconfirmed = mIsAwaitingConfirmation && !reported.equals(target());
        mIsAwaitingConfirmation = false;
        if (mServed.isEmpty() && (reported.isEmpty() || isUnconfirmed)) {
            mRetryAt = now.plus(mTiming.retryDelay());
        }
    }

    /** Takes a turn for {@link #targetDigest}. */
    public void leaseGranted(long fence, Duration lease, Duration now) {
        mLeasedOrder = target().map(version -> new LoadOrder(version, fence));
        mLeaseExpiry = now.plus(lease);
        mIsHoldingLease = true;
        mIsLeaseRefused = false;
        mIsResendBarred = false;
    }

    /** Notes that no turn was granted. */
    public void leaseRefused(Duration now) {
        mRetryAt = now.plus(mTiming.retryDelay());
        mIsLeaseRefused = true;
    }

    /** Notes that the last running answer has ended. */
    public void drained() {
        mIsDraining = false;
        mHasRead = false;
    }

    /** Notes the outcome of the order, and when it can take effect no more. */
    public void orderCompleted(LoadOrderResult result, Duration now) {
        mLastOrder = result == LoadOrderResult.REFUSED ? mLastOrder : mOrderInFlight;
        mOrderInFlight = Optional.empty();
        mIsResendBarred = result == LoadOrderResult.REFUSED;
        mIsAwaitingConfirmation = result == LoadOrderResult.ACCEPTED;
        mHasRead = false;
        mIsProbed = false;
        if (result == LoadOrderResult.UNKNOWN) {
            mOrderExpiry = now.plus(mTiming.orderLifetime());
        }
        if (result != LoadOrderResult.ACCEPTED) {
            mLeasedOrder = Optional.empty();
            mRetryAt = now.plus(mTiming.retryDelay());
        }
    }

    /** Takes the result of a probe. */
    public void probed(boolean isHealthy, Duration now) {
        mIsProbed = isHealthy;
        if (!isHealthy) {
            mRetryAt = now.plus(mTiming.retryDelay());
            mHasRead = false;
        }
    }

    /** Notes that the turn is given back. */
    public void leaseReleased() {
        mIsHoldingLease = false;
        mLeasedOrder = Optional.empty();
    }

    private Action nextWhileServing(Duration now) {
        boolean isOther = mReported.isPresent() && !mReported.equals(mServed);
        if (isOther || mUnansweredReads >= MAX_UNANSWERED_READS) {
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
        if (!mHasRead || isStale(now)) {
            return Action.READ_BACK;
        }
        if (isTargetLoaded() || mayServeLoaded(now)) {
            return mOrderExpiry.compareTo(now) > 0 ? Action.WAIT : open();
        }
        if (target().isEmpty() || !maySendOrder(now)) {
            return Action.WAIT;
        }
        if (!hasLease(now)) {
            return resendLastOrder() ? send() : Action.ACQUIRE_LEASE;
        }
        return send();
    }

    private Action send() {
        mOrderInFlight = mLeasedOrder;
        return Action.SEND_ORDER;
    }

    private Action open() {
        if (!mIsProbed) {
            return Action.PROBE;
        }
        mServed = mReported;
        return Action.OPEN_GATE;
    }

    private Action close() {
        mServed = Optional.empty();
        mIsDraining = true;
        mIsProbed = false;
        return Action.CLOSE_GATE;
    }

    /** An endpoint that lost its weights gets its last order again, under the same number. */
    private boolean resendLastOrder() {
        if (mIsResendBarred) {
            return false;
        }
        Optional<LoadOrder> same =
                mLastOrder.filter(order -> target().filter(order.version()::equals).isPresent());
        if (same.isPresent()) {
            mLeasedOrder = same;
        }
        return same.isPresent();
    }

    private boolean isTargetLoaded() {
        return mReported.isPresent() && mReported.equals(target());
    }

    /** Without a turn, the whole version that the engine still has goes on being served. */
    private boolean mayServeLoaded(Duration now) {
        return mIsLeaseRefused
                && !hasLease(now)
                && mReported.filter(mComplete::contains).isPresent()
                && mReported.equals(mLastOrder.map(LoadOrder::version));
    }

    /** A report counts for a short time, and none that was made before the quiet time ended. */
    private boolean isStale(Duration now) {
        boolean isBeforeQuietEnd =
                mLastReadAt.compareTo(mOrderExpiry) < 0 && mOrderExpiry.compareTo(now) <= 0;
        return isBeforeQuietEnd || mLastReadAt.plus(mTiming.readBackInterval()).compareTo(now) < 0;
    }

    /** Stated weights once they are held whole; until then those of the last order. */
    private Optional<String> target() {
        if (mConfigured.filter(mComplete::contains).isPresent()) {
            return mConfigured;
        }
        return mLastOrder.map(LoadOrder::version).filter(mComplete::contains);
    }

    /** An engine that ignores fencing numbers gets no order while an earlier one may arrive. */
    private boolean maySendOrder(Duration now) {
        return mChecksFencing || mOrderExpiry.compareTo(now) <= 0;
    }

    private boolean hasLease(Duration now) {
        return mLeaseExpiry.compareTo(now) > 0
                && mLeasedOrder
                        .filter(turn -> target().filter(turn.version()::equals).isPresent())
                        .isPresent();
    }

    private boolean isRenewalDue(Duration now) {
        return mIsHoldingLease
                && mRetryAt.compareTo(now) <= 0
                && mLeaseExpiry.minus(mTiming.orderLifetime().dividedBy(2)).compareTo(now) <= 0;
    }
}
