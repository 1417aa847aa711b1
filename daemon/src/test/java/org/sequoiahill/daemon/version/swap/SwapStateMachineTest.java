package org.sequoiahill.daemon.version.swap;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class SwapStateMachineTest {
    private static final SwapTiming TIMING =
            new SwapTiming(Duration.ofSeconds(10), Duration.ofMillis(500), Duration.ofMillis(500));
    private static final Duration LEASE = Duration.ofSeconds(10);

    /**
     * Simulates the engine and the stores' leader, and carries out the actions one by one without
     * threads.
     */
    private static final class Driver {
        private final SwapStateMachine mMachine;
        private final List<String> mActions = new ArrayList<>();
        private final Set<String> mComplete = new java.util.HashSet<>();
        private String mConfigured = "v1";
        private Optional<String> mEngine = Optional.of("");
        private boolean mIsLeaderReachable = true;
        private boolean mIsIgnoringOrders;
        private LoadOrderResult mOrderResult = LoadOrderResult.ACCEPTED;
        private boolean mIsDrainBlocked;
        private long mFence = 1;
        private Duration mNow = Duration.ofSeconds(100);

        Driver(boolean checksFencing, LoadOrder former) {
            mMachine =
                    SwapStateMachine.start(
                            checksFencing, TIMING, Optional.ofNullable(former), mNow);
        }

        Driver complete(String version) {
            mComplete.add(version);
            return this;
        }

        Driver configure(String version) {
            mConfigured = version;
            mFence++;
            return this;
        }

        Driver engine(String version) {
            mEngine = Optional.ofNullable(version);
            return this;
        }

        Driver leader(boolean isReachable) {
            mIsLeaderReachable = isReachable;
            return this;
        }

        Driver orders(LoadOrderResult result, boolean isIgnored) {
            mOrderResult = result;
            mIsIgnoringOrders = isIgnored;
            return this;
        }

        Driver blockDrain(boolean isBlocked) {
            mIsDrainBlocked = isBlocked;
            if (!isBlocked) {
                mMachine.drained();
            }
            return this;
        }

        /**
         * Runs for some milliseconds in steps of 100 and records all actions except reads and
         * health checks.
         */
        Driver run(int millis) {
            for (int t = 0; t < millis; t += 100) {
                mMachine.observe(Optional.of(mConfigured), mComplete);
                SwapStateMachine.Action action = mMachine.next(mNow);
                for (int i = 0; i < 20 && action != SwapStateMachine.Action.WAIT; i++) {
                    act(action);
                    action = mMachine.next(mNow);
                }
                mNow = mNow.plusMillis(100);
            }
            return this;
        }

        private void act(SwapStateMachine.Action action) {
            switch (action) {
                case READ_BACK -> mMachine.readBack(mEngine, mNow);
                case ACQUIRE_LEASE -> {
                    mActions.add(mMachine.isIdle() ? "acquire-idle" : "acquire");
                    if (mIsLeaderReachable) {
                        mMachine.leaseGranted(mFence, LEASE, mNow);
                    } else {
                        mMachine.leaseRefused(mNow);
                    }
                }
                case CLOSE_GATE -> {
                    mActions.add("close");
                    if (!mIsDrainBlocked) {
                        mMachine.drained();
                    }
                }
                case SEND_ORDER -> {
                    mActions.add("order " + mMachine.order().version());
                    if (!mIsIgnoringOrders) {
                        mEngine = Optional.of(mMachine.order().version());
                    }
                    mMachine.orderCompleted(mOrderResult, mNow);
                }
                case PROBE -> mMachine.probed(true, mNow);
                case OPEN_GATE -> mActions.add("open " + mMachine.served().orElseThrow());
                case RELEASE_LEASE -> {
                    mActions.add("release");
                    mMachine.leaseReleased();
                }
                default -> throw new AssertionError(action);
            }
        }

        Driver clearActions() {
            mActions.clear();
            return this;
        }
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of(
                        "first start",
                        fresh(true).complete("v1").run(300),
                        "acquire-idle, order v1, open v1, release"),
                Arguments.of("not yet complete", fresh(true).run(300), ""),
                Arguments.of(
                        "push",
                        serving(true).configure("v2").complete("v2").run(300),
                        "acquire, close, order v2, open v2, release"),
                Arguments.of("push not yet complete", serving(true).configure("v2").run(3_000), ""),
                Arguments.of(
                        "no swap lease: the old version is still served",
                        serving(true).configure("v2").complete("v2").leader(false).run(1_000),
                        "acquire, acquire"),
                Arguments.of(
                        "leader unreachable between order and read-back",
                        serving(true)
                                .orders(LoadOrderResult.UNKNOWN, false)
                                .configure("v2")
                                .complete("v2")
                                .run(100)
                                .leader(false)
                                .run(12_000),
                        "acquire, close, order v2, open v2, release"),
                Arguments.of(
                        "swap lease expires while requests run: the old version is served again",
                        serving(true)
                                .blockDrain(true)
                                .configure("v2")
                                .complete("v2")
                                .run(100)
                                .leader(false)
                                .run(10_000)
                                .clearActions()
                                .blockDrain(false)
                                .run(1_000),
                        "open v1, acquire, acquire"),
                Arguments.of(
                        "a newer push before the order",
                        serving(true)
                                .blockDrain(true)
                                .configure("v2")
                                .complete("v2")
                                .run(100)
                                .configure("v3")
                                .complete("v3")
                                .blockDrain(false)
                                .run(300),
                        "acquire, close, acquire, order v3, open v3, release"),
                Arguments.of(
                        "engine restarts with other weights",
                        serving(true).engine("v0").run(1_000),
                        "close, order v1, open v1"),
                Arguments.of(
                        "engine restarts empty while no leader is reachable",
                        serving(false).leader(false).engine("").run(1_000),
                        "close, order v1, open v1"),
                Arguments.of(
                        "engine does not respond: closed, and open once it reports the version",
                        serving(true).engine(null).run(1_000).engine("v1").run(1_000),
                        "close, open v1"),
                Arguments.of(
                        "engine accepts the order and reports other weights: stays closed",
                        serving(true)
                                .orders(LoadOrderResult.ACCEPTED, true)
                                .configure("v2")
                                .complete("v2")
                                .run(700),
                        "acquire, close, order v2, order v2"),
                Arguments.of(
                        "no response to the order from an engine without fencing: waits until it"
                                + " expires",
                        serving(false)
                                .orders(LoadOrderResult.UNKNOWN, true)
                                .configure("v2")
                                .complete("v2")
                                .run(9_000),
                        "acquire, close, order v2"));
    }

    static Stream<Arguments> restarts() {
        LoadOrder former = new LoadOrder("v1", 1);
        return Stream.of(
                Arguments.of(
                        "restart: waits until the former order expires",
                        new Driver(false, former).complete("v1").engine("v1").run(9_900),
                        ""),
                Arguments.of(
                        "restart: opens after the former order has expired",
                        new Driver(false, former).complete("v1").engine("v1").run(10_500),
                        "open v1"),
                Arguments.of(
                        "restart during a swap: no order before the former one has expired",
                        new Driver(false, former)
                                .complete("v1")
                                .complete("v2")
                                .configure("v2")
                                .run(9_900),
                        ""),
                Arguments.of(
                        "restart during a swap with fencing: a newer number excludes the former"
                                + " order",
                        new Driver(true, former)
                                .complete("v1")
                                .complete("v2")
                                .configure("v2")
                                .engine("v1")
                                .run(200),
                        "acquire-idle, order v2"),
                Arguments.of(
                        "the former order takes effect during the wait: read back, new order",
                        new Driver(false, former)
                                .complete("v2")
                                .configure("v2")
                                .run(5_000)
                                .engine("v1")
                                .run(6_000),
                        "acquire-idle, order v2, open v2, release"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({"cases", "restarts"})
    void next_inCase_actsInOrder(String name, Driver driver, String expected) {
        assertThat(String.join(", ", driver.mActions), is(expected));
    }

    private static Driver fresh(boolean checksFencing) {
        return new Driver(checksFencing, null);
    }

    private static Driver serving(boolean checksFencing) {
        return fresh(checksFencing).complete("v1").run(300).clearActions();
    }
}
