package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * One scheduler that sees every engine as it is, for comparison with entries that decide apart by
 * what they have heard.
 *
 * <p>It is no upper bound in the strict sense, since it does not know which requests will come.
 */
final class FullKnowledgeScheduler implements Scheduler {
    private static final Duration TICK = Duration.ofMillis(5);

    /** Part of the slots that late requests may take, so that those on time find room. */
    private static final double LATE_PART = 0.75;

    private final VirtualTime mTime;
    private final PlayedFleet mFleet;
    private final int mSlots;
    private List<Outcome> mWaiting = new ArrayList<>();

    private FullKnowledgeScheduler(VirtualTime time, PlayedFleet fleet, int slots) {
        mTime = time;
        mFleet = fleet;
        mSlots = slots;
    }

    static FullKnowledgeScheduler start(VirtualTime time, PlayedFleet fleet, int slots) {
        FullKnowledgeScheduler scheduler = new FullKnowledgeScheduler(time, fleet, slots);
        time.runAfter(TICK, scheduler::tick);
        return scheduler;
    }

    @Override
    public void arrive(Outcome request) {
        mWaiting.add(request);
        assign();
    }

    private void tick() {
        assign();
        mTime.runAfter(TICK, this::tick);
    }

    private void assign() {
        Comparator<Outcome> newestFirst =
                Comparator.comparing((Outcome each) -> each.request().arrivedAt()).reversed();
        List<Outcome> inOrder = new ArrayList<>(mWaiting);
        inOrder.sort(Comparator.comparing(this::isLate).thenComparing(newestFirst));
        mWaiting = new ArrayList<>();
        for (Outcome request : inOrder) {
            if (!isOver(request) && !send(request)) {
                mWaiting.add(request);
            }
        }
    }

    private boolean isLate(Outcome outcome) {
        PlayedRequest request = outcome.request();
        Duration since = mTime.now().minus(request.arrivedAt());
        return since.compareTo(request.kind().firstEventTarget()) > 0;
    }

    private boolean isOver(Outcome outcome) {
        PlayedRequest request = outcome.request();
        Duration since = mTime.now().minus(request.arrivedAt());
        if (since.compareTo(request.kind().patience()) <= 0) {
            return false;
        }
        outcome.refused();
        return true;
    }

    private boolean send(Outcome outcome) {
        PlayedRequest request = outcome.request();
        int tokens = request.promptTokens();
        boolean isLate = isLate(outcome);
        double most = isLate ? LATE_PART * mSlots : mSlots;
        Optional<ModelEngine> best =
                mFleet.members().stream()
                        .filter(member -> !member.isSwapping())
                        .map(PlayedFleet.Member::engine)
                        .filter(engine -> engine.running() + engine.waiting() < most)
                        .filter(engine -> keepsPauses(engine, request))
                        .min(Comparator.comparing(engine -> engine.firstEventAt(tokens)));
        if (best.isEmpty()) {
            return false;
        }
        Duration target = request.arrivedAt().plus(request.kind().firstEventTarget());
        if (!isLate && best.get().firstEventAt(tokens).compareTo(target) > 0) {
            return false;
        }
        return best.get()
                .take(ModelCall.of(tokens, request.events() * EngineShape.DENSE.stride(), outcome));
    }

    private static boolean keepsPauses(ModelEngine engine, PlayedRequest request) {
        return engine.running() == 0
                || engine.pauseAfter(request.promptTokens()).compareTo(request.kind().pauseTarget())
                        <= 0;
    }
}
