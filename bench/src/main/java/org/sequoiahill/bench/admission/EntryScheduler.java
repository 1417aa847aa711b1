package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.sequoiahill.daemon.process.fleet.Route;
import org.sequoiahill.daemon.request.direct.DirectSettings;
import org.sequoiahill.daemon.request.direct.Dispatcher;
import org.sequoiahill.daemon.request.direct.EndpointPermit;
import org.sequoiahill.daemon.request.direct.PendingRequest;
import org.sequoiahill.daemon.request.direct.ReportedLoad;
import org.sequoiahill.daemon.request.direct.RequestDeadlines;
import org.sequoiahill.daemon.request.direct.ResponseMetadata;

/** Schedules with the dispatchers of several entries, each deciding by what its entry knows. */
final class EntryScheduler implements Scheduler {
    /** Interval at which agents report loads. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);

    /** Time that a report of an engine's load takes to the entry that collects it. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(4);

    /** Collection times of {@code LoadRelay}. */
    private static final Duration COLLECT_PER_ENTRY = Duration.ofMillis(1);

    private static final Duration MAX_COLLECT = Duration.ofMillis(150);

    /** Retries per request, the window in which both are counted, and additional retries. */
    private static final double RETRY_RATIO = 0.2;

    private static final Duration RETRY_WINDOW = Duration.ofSeconds(8);
    private static final double RETRY_SLACK = 104;

    /**
     * Ages of a version from which requests require it, and from which attempts that have not begun
     * on an older one are cancelled; both for a rollout limit of 8 s.
     */
    private static final Duration REQUIRE_VERSION_AFTER = Duration.ofSeconds(7);

    private static final Duration RECALL_AFTER = Duration.ofMillis(7_440);

    /** Network delay from an entry to an engine. */
    private static final Duration ENGINE_DELAY = Duration.ofMillis(2);

    private final VirtualTime mTime;
    private final SimulatedFleet mFleet;
    private final List<Dispatcher> mDispatchers = new ArrayList<>();

    private EntryScheduler(VirtualTime time, SimulatedFleet fleet) {
        mTime = time;
        mFleet = fleet;
    }

    static EntryScheduler start(VirtualTime time, SimulatedFleet fleet, int entries, long seed) {
        EntryScheduler scheduler = new EntryScheduler(time, fleet);
        for (int entry = 0; entry < entries; entry++) {
            scheduler.mDispatchers.add(
                    Dispatcher.of(
                            fleet::snapshot,
                            settings(entry),
                            time,
                            new Random(seed + entry),
                            time));
        }
        fleet.setListener(() -> scheduler.mDispatchers.forEach(Dispatcher::refresh));
        time.runAfter(REPORT_INTERVAL, scheduler::reportLoads);
        return scheduler;
    }

    private static DirectSettings settings(int entry) {
        Map<String, String> regions = Map.of("dc-0", "r-0", "dc-1", "r-1", "dc-2", "r-2");
        return new DirectSettings(
                "entry-" + entry,
                regions,
                "r-" + entry % regions.size(),
                RETRY_RATIO,
                RETRY_WINDOW,
                RETRY_SLACK,
                REQUIRE_VERSION_AFTER,
                RECALL_AFTER);
    }

    @Override
    public void submit(RequestOutcome request) {
        sendAttempt(request, request.request().kind().timeout(), false);
    }

    private void sendAttempt(RequestOutcome request, Duration timeout, boolean isRetry) {
        mDispatchers
                .get(request.request().entry())
                .submit(new CallerAttempt(request, timeout, isRetry));
    }

    private void reportLoads() {
        for (SimulatedFleet.Member member : mFleet.members()) {
            ReportedLoad load =
                    new ReportedLoad(
                            member.address(),
                            member.engine().running() + member.engine().waiting(),
                            mTime.now());
            for (int entry = 0; entry < mDispatchers.size(); entry++) {
                boolean isLocal = member.dataCentre().equals(SimulatedFleet.dataCentreOf(entry));
                Dispatcher dispatcher = mDispatchers.get(entry);
                mTime.runAfter(
                        REPORT_DELAY.plus(collectTime().multipliedBy(isLocal ? 1 : 2)),
                        () -> dispatcher.updateLoads(List.of(load)));
            }
        }
        mTime.runAfter(REPORT_INTERVAL, this::reportLoads);
    }

    /** Returns how long each collecting entry holds loads, computed as {@code LoadRelay} does. */
    private Duration collectTime() {
        Duration collect = COLLECT_PER_ENTRY.multipliedBy(mDispatchers.size());
        return collect.compareTo(MAX_COLLECT) < 0 ? collect : MAX_COLLECT;
    }

    /**
     * One attempt of a caller, which retries once if the entry refuses it. A refusal by the engine
     * is not retried.
     */
    private final class CallerAttempt implements PendingRequest {
        private final RequestOutcome mOutcome;
        private final Duration mTimeout;
        private final boolean mIsRetry;
        private final RequestDeadlines mDeadlines;

        private CallerAttempt(RequestOutcome outcome, Duration timeout, boolean isRetry) {
            mOutcome = outcome;
            mTimeout = timeout;
            mIsRetry = isRetry;
            mDeadlines = RequestDeadlines.of(mTime.now(), route(), Optional.of(timeout));
        }

        private Route route() {
            RequestKind kind = mOutcome.request().kind();
            return new Route(
                    "r",
                    "host.example",
                    "/a/",
                    Route.Kind.STREAM,
                    kind.timeout(),
                    kind.firstEventTarget(),
                    kind.pauseTarget(),
                    1,
                    List.of(new Route.Share(SimulatedFleet.SERVICE, 1)),
                    2,
                    true,
                    true,
                    Set.of());
        }

        @Override
        public String service() {
            return SimulatedFleet.SERVICE;
        }

        @Override
        public String model() {
            return SimulatedFleet.MODEL;
        }

        @Override
        public OptionalLong version() {
            return OptionalLong.empty();
        }

        @Override
        public int priority() {
            return 1;
        }

        @Override
        public boolean isLate() {
            return mDeadlines.isLate();
        }

        @Override
        public Duration queueDeadline() {
            return mDeadlines.queueDeadline(mOutcome.request().kind().firstEventTarget());
        }

        @Override
        public int promptTokens() {
            return mOutcome.request().promptTokens();
        }

        @Override
        public Duration latencyTarget() {
            return mOutcome.request().kind().firstEventTarget();
        }

        @Override
        public boolean allows(String region) {
            return true;
        }

        @Override
        public Set<String> triedEndpoints() {
            return Set.of();
        }

        @Override
        public boolean isAbandoned() {
            return false;
        }

        @Override
        public void onGranted(EndpointPermit permit) {
            SimulatedRequest request = mOutcome.request();
            // DENSE and NARROW have the same number of steps per pass.
            ModelCall call =
                    ModelCall.of(
                            request.promptTokens(),
                            request.events() * EngineParameters.DENSE.stepsPerPass(),
                            new PermitListener(mOutcome, permit));
            ModelEngine engine = mFleet.memberAt(permit.endpoint().address()).engine();
            mTime.runAfter(
                    ENGINE_DELAY,
                    () -> {
                        if (!engine.offer(call)) {
                            permit.release(EndpointPermit.Result.REJECTED);
                            mOutcome.onRefused();
                        }
                    });
        }

        @Override
        public void onRefused(DispatchRefusal refused) {
            mOutcome.onRefused();
            Duration timeLeft =
                    mTimeout.minus(mTime.now().minus(mDeadlines.arrivedAt()))
                            .minus(refused.retryAfter());
            if (!mIsRetry && timeLeft.compareTo(Duration.ZERO) > 0) {
                mTime.runAfter(refused.retryAfter(), () -> sendAttempt(mOutcome, timeLeft, true));
            }
        }
    }

    /** Forwards events to the caller and releases the permit at the end. */
    private record PermitListener(RequestOutcome outcome, EndpointPermit permit)
            implements ModelCall.Listener {
        private static final ResponseMetadata RESPONSE =
                new ResponseMetadata(
                        200,
                        "",
                        true,
                        false,
                        true,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        Optional.empty());

        @Override
        public void onEvent(Duration at) {
            permit.onResponse(RESPONSE);
            outcome.onEvent(at);
        }

        @Override
        public void onCompleted(Duration at) {
            outcome.onCompleted(at);
            permit.release(EndpointPermit.Result.SUCCEEDED);
        }
    }
}
