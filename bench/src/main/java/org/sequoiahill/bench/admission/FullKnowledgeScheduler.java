package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A central scheduler that sees the current state of every engine, for comparison with entries,
 * each of which decides on its own and knows only reported state.
 *
 * <p>Its results are not a strict upper bound for other schedulers, since it does not know future
 * requests.
 */
final class FullKnowledgeScheduler implements Scheduler {
    private static final Duration TICK = Duration.ofMillis(5);

    /**
     * Late requests are sent only to engines whose calls, running and waiting, are fewer than this
     * fraction of the slots, so that requests on time find free slots.
     */
    private static final double MAX_LOAD_FOR_LATE = 0.75;

    private final VirtualTime mTime;
    private final SimulatedFleet mFleet;
    private final int mSlots;
    private List<RequestOutcome> mWaiting = new ArrayList<>();

    private FullKnowledgeScheduler(VirtualTime time, SimulatedFleet fleet, int slots) {
        mTime = time;
        mFleet = fleet;
        mSlots = slots;
    }

    static FullKnowledgeScheduler start(VirtualTime time, SimulatedFleet fleet, int slots) {
        FullKnowledgeScheduler scheduler = new FullKnowledgeScheduler(time, fleet, slots);
        time.runAfter(TICK, scheduler::tick);
        return scheduler;
    }

    @Override
    public void submit(RequestOutcome request) {
        mWaiting.add(request);
        assign();
    }

    private void tick() {
        assign();
        mTime.runAfter(TICK, this::tick);
    }

    private void assign() {
        Comparator<RequestOutcome> newestFirst =
                Comparator.comparing((RequestOutcome outcome) -> outcome.request().arrivedAt())
                        .reversed();
        List<RequestOutcome> inOrder = new ArrayList<>(mWaiting);
        inOrder.sort(Comparator.comparing(this::isLate).thenComparing(newestFirst));
        mWaiting = new ArrayList<>();
        for (RequestOutcome request : inOrder) {
            if (!refuseIfTimedOut(request) && !trySend(request)) {
                mWaiting.add(request);
            }
        }
    }

    private boolean isLate(RequestOutcome outcome) {
        SimulatedRequest request = outcome.request();
        Duration age = mTime.now().minus(request.arrivedAt());
        return age.compareTo(request.kind().firstEventTarget()) > 0;
    }

    private boolean refuseIfTimedOut(RequestOutcome outcome) {
        SimulatedRequest request = outcome.request();
        Duration age = mTime.now().minus(request.arrivedAt());
        if (age.compareTo(request.kind().timeout()) <= 0) {
            return false;
        }
        outcome.onRefused();
        return true;
    }

    private boolean trySend(RequestOutcome outcome) {
        SimulatedRequest request = outcome.request();
        int tokens = request.promptTokens();
        boolean isLate = isLate(outcome);
        double limit = isLate ? MAX_LOAD_FOR_LATE * mSlots : mSlots;
        Optional<ModelEngine> best =
                mFleet.members().stream()
                        .filter(member -> !member.isSwapping())
                        .map(SimulatedFleet.Member::engine)
                        .filter(engine -> engine.running() + engine.waiting() < limit)
                        .filter(engine -> meetsPauseTarget(engine, request))
                        .min(Comparator.comparing(engine -> engine.firstEventAt(tokens)));
        if (best.isEmpty()) {
            return false;
        }
        Duration firstEventDeadline = request.arrivedAt().plus(request.kind().firstEventTarget());
        if (!isLate && best.get().firstEventAt(tokens).compareTo(firstEventDeadline) > 0) {
            return false;
        }
        // DENSE and NARROW have the same number of steps per pass.
        return best.get()
                .offer(
                        ModelCall.of(
                                tokens,
                                request.events() * EngineParameters.DENSE.stepsPerPass(),
                                outcome));
    }

    private static boolean meetsPauseTarget(ModelEngine engine, SimulatedRequest request) {
        return engine.running() == 0
                || engine.pauseAfter(request.promptTokens()).compareTo(request.kind().pauseTarget())
                        <= 0;
    }
}
