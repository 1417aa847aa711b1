package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sequoiahill.bench.admission.VirtualTime;

/** Calls between VMs of a played fleet, over links that all of them share. */
final class SimulatedNetwork {
    private static final Duration SAME_REGION_DELAY = Duration.ofNanos(100_000);
    private static final Duration CROSS_REGION_DELAY = Duration.ofNanos(1_800_000);

    private final VirtualTime mTime;
    private final SharedLinks mLinks;
    private final double mInterRegionRate;
    private final Map<List<Integer>, SharedLinks.Link> mInterRegionLinks = new HashMap<>();

    SimulatedNetwork(VirtualTime time, double between) {
        mTime = time;
        mLinks = new SharedLinks(time);
        mInterRegionRate = between;
    }

    SharedLinks links() {
        return mLinks;
    }

    /** Returns the time that a packet takes between two regions. */
    Duration delay(int from, int to) {
        return from == to ? SAME_REGION_DELAY : CROSS_REGION_DELAY;
    }

    /** Returns the links from one link to another. */
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
     * Asks a VM for something.
     *
     * @param bound time after which a caller without a first byte gives up
     * @param bits length of the answer
     * @param server what the VM does; it says whether it has what is asked for
     * @param done hears whether it came
     */
    void call(
            SimulatedVm from,
            SimulatedVm to,
            Duration bound,
            double bits,
            Consumer<Consumer<Boolean>> server,
            Consumer<Boolean> done) {
        Call call = new Call(done);
        Duration delay = delay(from.region(), to.region());
        mTime.runAfter(bound, () -> call.timeOut(from));
        mTime.runAfter(
                delay,
                () ->
                        to.whenRunning(
                                () ->
                                        server.accept(
                                                isHere -> answer(call, from, to, bits, isHere))));
    }

    private void answer(Call call, SimulatedVm from, SimulatedVm to, double bits, boolean isHere) {
        Duration delay = delay(from.region(), to.region());
        if (call.mIsTimedOut) {
            return;
        }
        call.mIsAnswered = true;
        if (!isHere) {
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
        private boolean mIsAnswered;
        private boolean mIsTimedOut;

        Call(Consumer<Boolean> done) {
            mDone = done;
        }

        private void timeOut(SimulatedVm caller) {
            if (!mIsAnswered && !mIsTimedOut) {
                mIsTimedOut = true;
                caller.whenRunning(() -> mDone.accept(false));
            }
        }
    }
}
