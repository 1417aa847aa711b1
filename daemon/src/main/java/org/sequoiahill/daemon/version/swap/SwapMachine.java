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
public final class SwapMachine {
    private static final int SILENT_BEFORE_CLOSE = 2;

    private final boolean mChecksFencing;
    private final SwapTiming mTiming;
    private Optional<String> mStated = Optional.empty();
    private Set<String> mWhole = Set.of();
    private Optional<Order> mLastOrder;
    private Optional<String> mServed = Optional.empty();
    private Optional<String> mReported = Optional.empty();
    private Optional<Order> mTurn = Optional.empty();
    private boolean mIsHoldingTurn;
    private boolean mIsDraining;
    private Optional<Order> mSending = Optional.empty();
    private boolean mIsReadBack;
    private boolean mIsProbed;
    private boolean mIsConfirming;
    private boolean mIsTurnRefused;
    private boolean mIsRepeatBarred;
    private int mSilent;
    private Duration mTurnExpiry = Duration.ZERO;
    private Duration mQuietUntil;
    private Duration mReadAt = Duration.ZERO;
    private Duration mNotBefore = Duration.ZERO;

    private SwapMachine(
            boolean checksFencing, SwapTiming timing, Optional<Order> lastOrder, Duration quiet) {
        mChecksFencing = checksFencing;
        mTiming = timing;
        mLastOrder = lastOrder;
        mQuietUntil = quiet;
    }

    /**
     * Returns the machine of an agent that has just started.
     *
     * @param checksFencing whether the engine refuses an order with an old fencing number
     * @param formerOrder last order of an earlier incarnation of the agent; its lease is waited out
     */
    public static SwapMachine start(
            boolean checksFencing, SwapTiming timing, Optional<Order> formerOrder, Duration now) {
        Duration quiet = formerOrder.isPresent() ? now.plus(timing.orderLease()) : Duration.ZERO;
        return new SwapMachine(checksFencing, timing, formerOrder, quiet);
    }

    /** What the caller does next; each has an event that must follow. */
    public enum Action {
        /** Nothing yet. */
        WAIT,
        /** Ask the engine what it has; {@link #readBack} follows. */
        READ_BACK,
        /** Ask for a turn, or renew it; {@link #granted} or {@link #refused} follows. */
        ASK_TURN,
        /** Stop new work; {@link #drained} follows once running answers have ended. */
        CLOSE_GATE,
        /** Send {@link #order}; {@link #ordered} follows. */
        ORDER,
        /** Ask the engine for its health; {@link #probed} follows. */
        PROBE,
        /** Let requests in for {@link #served}. */
        OPEN_GATE,
        /** Give the turn back; {@link #gaveBack} follows. */
        GIVE_BACK
    }

    /**
     * Takes what is stated and what is held whole.
     *
     * @param stated digest that the configuration states
     * @param whole digests that are held whole and checked
     */
    public void observe(Optional<String> stated, Set<String> whole) {
        mStated = stated;
        mWhole = whole;
    }

    /** Returns the digest that requests are let in for; empty while the gate is closed. */
    public Optional<String> served() {
        return mServed;
    }

    /** Returns the digest that a turn is asked for. */
    public String wanted() {
        return target().orElse("");
    }

    /** Returns whether an asked turn takes no capacity away. */
    public boolean isIdle() {
        return mServed.isEmpty() && !mIsDraining && !mIsHoldingTurn;
    }

    /** Returns the order that {@link Action#ORDER} sends. */
    public Order order() {
        return mSending.orElseThrow();
    }

    /** Returns what to do now. */
    public Action next(Duration now) {
        if (mIsDraining || mSending.isPresent()) {
            return isRenewalDue(now) ? Action.ASK_TURN : Action.WAIT;
        }
        return mServed.isPresent() ? whileServing(now) : whileClosed(now);
    }

    /** Takes what the engine reports; empty where it is silent. */
    public void readBack(Optional<String> reported, Duration now) {
        mReadAt = now;
        mSilent = reported.isPresent() ? 0 : mSilent + 1;
        if (!reported.equals(mReported)) {
            mIsProbed = false;
        }
        mReported = reported;
        mIsReadBack = reported.isPresent();
        boolean isUnconfirmed = mIsConfirming && !reported.equals(target());
        mIsConfirming = false;
        if (mServed.isEmpty() && (reported.isEmpty() || isUnconfirmed)) {
            mNotBefore = now.plus(mTiming.retry());
        }
    }

    /** Takes a turn for {@link #wanted}. */
    public void granted(long fence, Duration lease, Duration now) {
        mTurn = target().map(version -> new Order(version, fence));
        mTurnExpiry = now.plus(lease);
        mIsHoldingTurn = true;
        mIsTurnRefused = false;
        mIsRepeatBarred = false;
    }

    /** Notes that no turn was granted. */
    public void refused(Duration now) {
        mNotBefore = now.plus(mTiming.retry());
        mIsTurnRefused = true;
    }

    /** Notes that the last running answer has ended. */
    public void drained() {
        mIsDraining = false;
        mIsReadBack = false;
    }

    /** Notes the outcome of the order, and when it can take effect no more. */
    public void ordered(OrderResult result, Duration now) {
        mLastOrder = result == OrderResult.REFUSED ? mLastOrder : mSending;
        mSending = Optional.empty();
        mIsRepeatBarred = result == OrderResult.REFUSED;
        mIsConfirming = result == OrderResult.TAKEN;
        mIsReadBack = false;
        mIsProbed = false;
        if (result == OrderResult.UNKNOWN) {
            mQuietUntil = now.plus(mTiming.orderLease());
        }
        if (result != OrderResult.TAKEN) {
            mTurn = Optional.empty();
            mNotBefore = now.plus(mTiming.retry());
        }
    }

    /** Takes the result of a probe. */
    public void probed(boolean isHealthy, Duration now) {
        mIsProbed = isHealthy;
        if (!isHealthy) {
            mNotBefore = now.plus(mTiming.retry());
            mIsReadBack = false;
        }
    }

    /** Notes that the turn is given back. */
    public void gaveBack() {
        mIsHoldingTurn = false;
        mTurn = Optional.empty();
    }

    private Action whileServing(Duration now) {
        boolean isOther = mReported.isPresent() && !mReported.equals(mServed);
        if (isOther || mSilent >= SILENT_BEFORE_CLOSE) {
            return close();
        }
        if (mSilent > 0 || mReadAt.plus(mTiming.readBack()).compareTo(now) <= 0) {
            return Action.READ_BACK;
        }
        if (target().isEmpty() || target().equals(mServed)) {
            return mIsHoldingTurn ? Action.GIVE_BACK : Action.WAIT;
        }
        if (!mayOrder(now) || mNotBefore.compareTo(now) > 0) {
            return Action.WAIT;
        }
        return hasTurn(now) ? close() : Action.ASK_TURN;
    }

    private Action whileClosed(Duration now) {
        if (mNotBefore.compareTo(now) > 0) {
            return Action.WAIT;
        }
        if (!mIsReadBack || isStale(now)) {
            return Action.READ_BACK;
        }
        if (isRight() || isFallback(now)) {
            return mQuietUntil.compareTo(now) > 0 ? Action.WAIT : open();
        }
        if (target().isEmpty() || !mayOrder(now)) {
            return Action.WAIT;
        }
        if (!hasTurn(now)) {
            return repeat() ? send() : Action.ASK_TURN;
        }
        return send();
    }

    private Action send() {
        mSending = mTurn;
        return Action.ORDER;
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
    private boolean repeat() {
        if (mIsRepeatBarred) {
            return false;
        }
        Optional<Order> same =
                mLastOrder.filter(order -> target().filter(order.version()::equals).isPresent());
        if (same.isPresent()) {
            mTurn = same;
        }
        return same.isPresent();
    }

    private boolean isRight() {
        return mReported.isPresent() && mReported.equals(target());
    }

    /** Without a turn, the whole version that the engine still has goes on being served. */
    private boolean isFallback(Duration now) {
        return mIsTurnRefused
                && !hasTurn(now)
                && mReported.filter(mWhole::contains).isPresent()
                && mReported.equals(mLastOrder.map(Order::version));
    }

    /** A report counts for a short time, and none that was made before the quiet time ended. */
    private boolean isStale(Duration now) {
        boolean isBeforeQuietEnd =
                mReadAt.compareTo(mQuietUntil) < 0 && mQuietUntil.compareTo(now) <= 0;
        return isBeforeQuietEnd || mReadAt.plus(mTiming.readBack()).compareTo(now) < 0;
    }

    /** Stated weights once they are held whole; until then those of the last order. */
    private Optional<String> target() {
        if (mStated.filter(mWhole::contains).isPresent()) {
            return mStated;
        }
        return mLastOrder.map(Order::version).filter(mWhole::contains);
    }

    /** An engine that ignores fencing numbers gets no order while an earlier one may arrive. */
    private boolean mayOrder(Duration now) {
        return mChecksFencing || mQuietUntil.compareTo(now) <= 0;
    }

    private boolean hasTurn(Duration now) {
        return mTurnExpiry.compareTo(now) > 0
                && mTurn.filter(turn -> target().filter(turn.version()::equals).isPresent())
                        .isPresent();
    }

    private boolean isRenewalDue(Duration now) {
        return mIsHoldingTurn
                && mNotBefore.compareTo(now) <= 0
                && mTurnExpiry.minus(mTiming.orderLease().dividedBy(2)).compareTo(now) <= 0;
    }
}
