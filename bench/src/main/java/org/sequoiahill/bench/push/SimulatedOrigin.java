package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.bench.admission.VirtualTime;

/**
 * Simulates the origin in the first region: a link, and a connection limit beyond which it resets
 * connections.
 */
final class SimulatedOrigin {
    static final int REGION = 0;

    /** Time limit of a call to the origin; the daemons use the same. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

    private final VirtualTime mTime;
    private final SimulatedNetwork mNetwork;
    private final int mMaxConnections;
    private final Duration mIdleTimeout;
    private final SharedLinks.Link mOut;
    private final Map<String, Deque<Connection>> mIdle = new HashMap<>();
    private int mOpen;
    private int mResets;
    private double mBitsSent;

    /**
     * Creates an origin.
     *
     * @param idleTimeout time for which callers keep an idle connection open
     */
    SimulatedOrigin(
            VirtualTime time, SimulatedNetwork network, PushShape shape, Duration idleTimeout) {
        mTime = time;
        mNetwork = network;
        mMaxConnections = shape.originConnections();
        mIdleTimeout = idleTimeout;
        mOut = new SharedLinks.Link(shape.originRate());
    }

    /** A connection of one caller. */
    private static final class Connection {
        /**
         * Changes at the start and end of each use, so that a timer can tell if it still applies.
         */
        private long mUseCount;
    }

    /** Sends bits to a VM, and reports to the VM whether they arrived. */
    void fetch(SimulatedVm caller, double bits, Consumer<Boolean> done) {
        Duration delay = mNetwork.delay(REGION, caller.region());
        Connection connection = connection(caller);
        if (connection == null) {
            mResets++;
            mTime.runAfter(
                    delay.multipliedBy(2), () -> caller.whenRunning(() -> done.accept(false)));
            return;
        }
        long useCount = ++connection.mUseCount;
        mBitsSent += bits;
        List<SharedLinks.Link> path = mNetwork.path(mOut, REGION, caller.in(), caller.region());
        SharedLinks.Transfer transfer =
                mNetwork.links()
                        .send(
                                path,
                                bits,
                                () -> {
                                    release(caller, connection);
                                    caller.whenRunning(() -> done.accept(true));
                                });
        mTime.runAfter(
                CALL_TIMEOUT,
                () -> {
                    if (connection.mUseCount == useCount) {
                        connection.mUseCount++;
                        mOpen--;
                        mNetwork.links().cancel(transfer);
                        caller.whenRunning(() -> done.accept(false));
                    }
                });
    }

    int resets() {
        return mResets;
    }

    double bitsSent() {
        return mBitsSent;
    }

    private @Nullable Connection connection(SimulatedVm caller) {
        Deque<Connection> idle = mIdle.computeIfAbsent(caller.name(), name -> new ArrayDeque<>());
        Connection reused = idle.poll();
        if (reused != null) {
            return reused;
        }
        if (mOpen >= mMaxConnections) {
            return null;
        }
        mOpen++;
        return new Connection();
    }

    private void release(SimulatedVm caller, Connection connection) {
        connection.mUseCount++;
        Deque<Connection> idle = mIdle.computeIfAbsent(caller.name(), name -> new ArrayDeque<>());
        idle.push(connection);
        long useCount = connection.mUseCount;
        mTime.runAfter(
                mIdleTimeout,
                () -> {
                    if (connection.mUseCount == useCount && idle.remove(connection)) {
                        mOpen--;
                    }
                });
    }
}
