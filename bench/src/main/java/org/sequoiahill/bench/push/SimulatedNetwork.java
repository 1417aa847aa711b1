package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sequoiahill.bench.admission.VirtualTime;

/** Simulates calls between the VMs of a fleet over shared links. */
final class SimulatedNetwork {
    private static final Duration SAME_REGION_DELAY = Duration.ofNanos(100_000);
    private static final Duration CROSS_REGION_DELAY = Duration.ofNanos(1_800_000);

    private final VirtualTime mTime;
    private final SharedLinks mLinks;
    private final double mInterRegionRate;
    private final Map<List<Integer>, SharedLinks.Link> mInterRegionLinks = new HashMap<>();

    SimulatedNetwork(VirtualTime time, double interRegionRate) {
        mTime = time;
        mLinks = new SharedLinks(time);
        mInterRegionRate = interRegionRate;
    }

    SharedLinks links() {
        return mLinks;
    }

    /** Returns the one-way delay between two regions. */
    Duration delay(int from, int to) {
        return from == to ? SAME_REGION_DELAY : CROSS_REGION_DELAY;
    }

    /**
     * Returns the links that a transfer uses.
     *
     * @param out outgoing link of the sender
     * @param from region of the sender
     * @param in incoming link of the receiver
     * @param to region of the receiver
     */
    List<SharedLinks.Link> path(SharedLinks.Link out, int from, SharedLinks.Link in, int to) {
        List<SharedLinks.Link> path = new ArrayList<>(List.of(out, in));
        if (from != to) {
            path.add(
                    mInterRegionLinks.computeIfAbsent(
                            List.of(from, to), key -> new SharedLinks.Link(mInterRegionRate)));
        }
        return path;
    }

    /**
     * Calls a VM.
     *
     * @param timeout time without a first byte after which the call fails
     * @param bits size of the response
     * @param server handles the call; reports whether it has what is requested
     * @param done receives whether what was requested arrived
     */
    void call(
            SimulatedVm from,
            SimulatedVm to,
            Duration timeout,
            double bits,
            Consumer<Consumer<Boolean>> server,
            Consumer<Boolean> done) {
        Call call = new Call(done);
        Duration delay = delay(from.region(), to.region());
        mTime.runAfter(timeout, () -> call.timeOut(from));
        mTime.runAfter(
                delay,
                () ->
                        to.whenRunning(
                                () ->
                                        server.accept(
                                                isSuccessful ->
                                                        respond(
                                                                call,
                                                                from,
                                                                to,
                                                                bits,
                                                                isSuccessful))));
    }

    private void respond(
            Call call, SimulatedVm from, SimulatedVm to, double bits, boolean isSuccessful) {
        Duration delay = delay(from.region(), to.region());
        if (call.mIsTimedOut) {
            return;
        }
        call.mHasResponse = true;
        if (!isSuccessful) {
            mTime.runAfter(delay, () -> from.whenRunning(() -> call.mDone.accept(false)));
            return;
        }
        mLinks.send(
                path(to.out(), to.region(), from.in(), from.region()),
                bits,
                () -> mTime.runAfter(delay, () -> from.whenRunning(() -> call.mDone.accept(true))));
    }

    private static final class Call {
        private final Consumer<Boolean> mDone;
        private boolean mHasResponse;
        private boolean mIsTimedOut;

        Call(Consumer<Boolean> done) {
            mDone = done;
        }

        private void timeOut(SimulatedVm caller) {
            if (!mHasResponse && !mIsTimedOut) {
                mIsTimedOut = true;
                caller.whenRunning(() -> mDone.accept(false));
            }
        }
    }
}
