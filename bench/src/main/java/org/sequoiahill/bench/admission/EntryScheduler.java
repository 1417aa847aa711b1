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

/** Lets the dispatchers of several entries decide, each by what its entry knows. */
final class EntryScheduler implements Scheduler {
    /** Interval at which agents tell loads. */
    private static final Duration TELL_INTERVAL = Duration.ofMillis(120);

    /** Time from an engine's report to the entry that takes it. */
    private static final Duration TELL_DELAY = Duration.ofMillis(4);

    /** Times of {@code LoadExchange}. */
    private static final Duration COLLECT_PER_ENTRY = Duration.ofMillis(1);

    private static final Duration MAX_COLLECT = Duration.ofMillis(150);

    /** Repeats as a part of requests, the window they are counted in, and what may come besides. */
    private static final double REPEAT_RATIO = 0.2;

    private static final Duration REPEAT_WINDOW = Duration.ofSeconds(8);
    private static final double REPEAT_SLACK = 104;

    /** Ages of a version from which it is insisted on and requests are recalled: a bound of 8 s. */
    private static final Duration VERSION_BOUND = Duration.ofSeconds(7);

    private static final Duration LAST_START = Duration.ofMillis(7_440);

    /** Time from an entry to an engine. */
    private static final Duration HOP = Duration.ofMillis(2);

    private final VirtualTime mTime;
    private final PlayedFleet mFleet;
    private final List<Dispatcher> mDispatchers = new ArrayList<>();

    private EntryScheduler(VirtualTime time, PlayedFleet fleet) {
        mTime = time;
        mFleet = fleet;
    }

    static EntryScheduler start(VirtualTime time, PlayedFleet fleet, int entries, long seed) {
        EntryScheduler scheduler = new EntryScheduler(time, fleet);
        for (int entry = 0; entry < entries; entry++) {
            scheduler.mDispatchers.add(
                    Dispatcher.of(
                            fleet::picture, settings(entry), time, new Random(seed + entry), time));
        }
        fleet.listen(() -> scheduler.mDispatchers.forEach(Dispatcher::refresh));
        time.runAfter(TELL_INTERVAL, scheduler::tellLoads);
        return scheduler;
    }

    private static DirectSettings settings(int entry) {
        Map<String, String> regions = Map.of("dc-0", "r-0", "dc-1", "r-1", "dc-2", "r-2");
        return new DirectSettings(
                "entry-" + entry,
                regions,
                "r-" + entry % regions.size(),
                REPEAT_RATIO,
                REPEAT_WINDOW,
                REPEAT_SLACK,
                VERSION_BOUND,
                LAST_START);
    }

    @Override
    public void arrive(Outcome request) {
        ask(request, request.request().kind().patience(), false);
    }

    private void ask(Outcome request, Duration patience, boolean isAgain) {
        mDispatchers
                .get(request.request().entry())
                .submit(new CallerTicket(request, patience, isAgain));
    }

    private void tellLoads() {
        for (PlayedFleet.Member member : mFleet.members()) {
            ReportedLoad load =
                    new ReportedLoad(
                            member.address(),
                            member.engine().running() + member.engine().waiting(),
                            mTime.now());
            for (int entry = 0; entry < mDispatchers.size(); entry++) {
                boolean isNear = member.dataCentre().equals(PlayedFleet.dataCentreOf(entry));
                Dispatcher dispatcher = mDispatchers.get(entry);
                mTime.runAfter(
                        TELL_DELAY.plus(collectTime().multipliedBy(isNear ? 1 : 2)),
                        () -> dispatcher.updateLoads(List.of(load)));
            }
        }
        mTime.runAfter(TELL_INTERVAL, this::tellLoads);
    }

    /** Returns how long each collector holds loads, as {@code LoadExchange} does. */
    private Duration collectTime() {
        Duration collect = COLLECT_PER_ENTRY.multipliedBy(mDispatchers.size());
        return collect.compareTo(MAX_COLLECT) < 0 ? collect : MAX_COLLECT;
    }

    /** One try of a caller, who comes back once after a refusal. */
    private final class CallerTicket implements PendingRequest {
        private final Outcome mOutcome;
        private final Duration mPatience;
        private final boolean mIsAgain;
        private final RequestDeadlines mTimes;

        private CallerTicket(Outcome outcome, Duration patience, boolean isAgain) {
            mOutcome = outcome;
            mPatience = patience;
            mIsAgain = isAgain;
            mTimes = RequestDeadlines.of(mTime.now(), route(), Optional.of(patience));
        }

        private Route route() {
            RequestKind kind = mOutcome.request().kind();
            return new Route(
                    "r",
                    "host.example",
                    "/a/",
                    Route.Kind.STREAM,
                    kind.patience(),
                    kind.firstEventTarget(),
                    kind.pauseTarget(),
                    1,
                    List.of(new Route.Share(PlayedFleet.SERVICE, 1)),
                    2,
                    true,
                    true,
                    Set.of());
        }

        @Override
        public String service() {
            return PlayedFleet.SERVICE;
        }

        @Override
        public String model() {
            return PlayedFleet.MODEL;
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
            return mTimes.isLate();
        }

        @Override
        public Duration queueDeadline() {
            return mTimes.queueDeadline(mOutcome.request().kind().firstEventTarget());
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
        public void onGranted(EndpointPermit place) {
            PlayedRequest request = mOutcome.request();
            ModelCall call =
                    ModelCall.of(
                            request.promptTokens(),
                            request.events() * EngineShape.DENSE.stride(),
                            new PlaceListener(mOutcome, place));
            ModelEngine engine = mFleet.at(place.endpoint().address()).engine();
            mTime.runAfter(
                    HOP,
                    () -> {
                        if (!engine.take(call)) {
                            place.release(EndpointPermit.Result.REJECTED);
                            mOutcome.refused();
                        }
                    });
        }

        @Override
        public void onRefused(DispatchRefusal refused) {
            mOutcome.refused();
            Duration left =
                    mPatience
                            .minus(mTime.now().minus(mTimes.arrivedAt()))
                            .minus(refused.retryAfter());
            if (!mIsAgain && left.compareTo(Duration.ZERO) > 0) {
                mTime.runAfter(refused.retryAfter(), () -> ask(mOutcome, left, true));
            }
        }
    }

    /** Passes events on to the caller, and gives the place back at the end. */
    private record PlaceListener(Outcome outcome, EndpointPermit place)
            implements ModelCall.Listener {
        private static final ResponseMetadata ANSWER =
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
        public void event(Duration at) {
            place.onResponse(ANSWER);
            outcome.event(at);
        }

        @Override
        public void ended(Duration at) {
            outcome.ended(at);
            place.release(EndpointPermit.Result.SUCCEEDED);
        }
    }
}
