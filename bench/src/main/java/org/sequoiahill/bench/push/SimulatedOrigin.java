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

/** The origin in the first region: a link, and a bound of connections over which it resets. */
final class SimulatedOrigin {
    static final int REGION = 0;

    /** Bound of a call, as that of an entry's and an agent's calls. */
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
     * @param keptIdle time for which callers keep a connection without a call on it
     */
    SimulatedOrigin(
            VirtualTime time, SimulatedNetwork network, PushShape shape, Duration keptIdle) {
        mTime = time;
        mNetwork = network;
        mMaxConnections = shape.originConnections();
        mIdleTimeout = keptIdle;
        mOut = new SharedLinks.Link(shape.originRate());
    }

    /** A connection of one caller. */
    private static final class Connection {
        private long mUse;
    }

    /** Sends something to a VM, which hears whether it came. */
    void fetch(SimulatedVm caller, double bits, Consumer<Boolean> done) {
        Duration delay = mNetwork.delay(REGION, caller.region());
        Connection connection = connection(caller);
        if (connection == null) {
            mResets++;
            mTime.runAfter(
                    delay.multipliedBy(2), () -> caller.whenRunning(() -> done.accept(false)));
            return;
        }
        long use = ++connection.mUse;
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
                    if (connection.mUse == use) {
                        connection.mUse++;
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
        Connection kept = idle.poll();
        if (kept != null) {
            return kept;
        }
        if (mOpen >= mMaxConnections) {
            return null;
        }
        mOpen++;
        return new Connection();
    }

    private void release(SimulatedVm caller, Connection connection) {
        connection.mUse++;
        Deque<Connection> idle = mIdle.computeIfAbsent(caller.name(), name -> new ArrayDeque<>());
        idle.push(connection);
        long use = connection.mUse;
        mTime.runAfter(
                mIdleTimeout,
                () -> {
                    if (connection.mUse == use && idle.remove(connection)) {
                        mOpen--;
                    }
                });
    }
}
