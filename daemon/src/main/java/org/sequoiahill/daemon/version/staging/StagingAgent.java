package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.EngineProfile;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.tinylog.Logger;

/**
 * Keeps the engine beside this agent at the newest named version: fetches the pieces, stages them,
 * reads them back, waits for its turn, and orders the load, which begins once the engine's running
 * requests have ended.
 */
public final class StagingAgent implements Runnable {
    /** Version that engines start with before any was named. */
    private static final long FIRST_VERSION = 1;

    private static final Duration IDLE_INTERVAL = Duration.ofMillis(400);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(60);
    private static final Duration LOST_INTERVAL = Duration.ofMillis(200);

    /** Time in which entries hear that an engine is about to load. */
    private static final Duration NOTICE = Duration.ofMillis(120);

    private static final Duration LOAD_BOUND = Duration.ofSeconds(5);

    private final Services mServices;
    private final String mService;
    private final Duration mLastCall;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWoken = mLock.newCondition();
    private boolean mIsWoken;
    private long mKnownIndex;
    private volatile boolean mIsAwaitingTurn;
    private Optional<PieceManifest> mManifest = Optional.empty();
    private boolean mIsEngineLost;

    private StagingAgent(Services services, String service, Duration lastCall) {
        mServices = services;
        mService = service;
        mLastCall = lastCall;
    }

    /**
     * What an agent works with.
     *
     * @param picture what is known of the fleet
     * @param engine the engine beside the agent
     * @param store checked pieces
     * @param fetcher fetches pieces
     * @param state what the agent says of itself
     * @param announce tells all stores what the agent says of itself now
     * @param regions region of each data centre
     * @param clock monotonic clock
     */
    public record Services(
            Supplier<FleetSnapshot> picture,
            StagingEngine engine,
            PieceStore store,
            PieceFetcher fetcher,
            AgentState state,
            Runnable announce,
            Map<String, String> regions,
            MonotonicClock clock) {
        /** Copies the map. */
        public Services {
            regions = Map.copyOf(regions);
        }
    }

    /**
     * Returns an agent.
     *
     * @param service service of the engine
     * @param lastCall age of a version from which its load waits for no other engine
     */
    public static StagingAgent of(Services services, String service, Duration lastCall) {
        return new StagingAgent(services, service, lastCall);
    }

    /**
     * Lets the agent look at once where a change of the fleet matters to it: one of what the stores
     * agree on or, while it waits for its turn, any. Daemons that come and go do not.
     */
    public void changed(FleetSnapshot picture) {
        mLock.lock();
        try {
            long index = picture.state().index();
            if (index == mKnownIndex && !mIsAwaitingTurn) {
                return;
            }
            mKnownIndex = index;
            mIsWoken = true;
            mWoken.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                boolean isDone = true;
                try {
                    isDone = step();
                    if (mIsEngineLost) {
                        Logger.info("the engine answers again");
                    }
                    mIsEngineLost = false;
                } catch (IOException e) {
                    if (!mIsEngineLost) {
                        Logger.warn("a step towards the newest version failed: {}", e.toString());
                    }
                    mIsEngineLost = true;
                    isDone = false;
                }
                Duration step = mIsEngineLost ? LOST_INTERVAL : STEP_INTERVAL;
                pause(isDone ? IDLE_INTERVAL : step);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes one step; returns whether nothing is left to do for now. */
    private boolean step() throws IOException, InterruptedException {
        FleetSnapshot picture = mServices.picture().get();
        Optional<EngineProfile> profile =
                picture.table()
                        .flatMap(table -> table.service(mService))
                        .flatMap(RoutedService::engine);
        if (profile.isEmpty()) {
            return true;
        }
        String model = profile.get().model();
        long target = picture.state().version(model, FIRST_VERSION);
        StagingEngine.Report report = reportOrFetch(picture, model, target);
        tell(false, report.versions());
        long held = report.versions().getOrDefault(model, 0L);
        if (held >= target || report.isBusy()) {
            return !report.isBusy();
        }
        FleetPieces from = FleetPieces.of(picture, mServices.regions());
        if (from.origin().isEmpty()) {
            return true;
        }
        PieceManifest manifest = manifest(from, model, target);
        PieceFetcher.Pace pace =
                held > 0 ? PieceFetcher.Pace.BESIDE_REQUESTS : PieceFetcher.Pace.FULL;
        if (!mServices.fetcher().fetch(manifest, from, pace)) {
            Logger.warn("version {} of {} is not here whole yet", target, model);
            return false;
        }
        mIsAwaitingTurn = held > 0 && !isTurn(model, target);
        if (mIsAwaitingTurn) {
            return false;
        }
        load(manifest, held > 0);
        return false;
    }

    /**
     * Returns the engine's report; while the engine is still starting, its pieces are fetched, as
     * that takes most of the time until it serves. Where no engine of the fleet serves, all are
     * starting, and most of them find their pieces staged.
     */
    private StagingEngine.Report reportOrFetch(FleetSnapshot picture, String model, long target)
            throws IOException, InterruptedException {
        try {
            return mServices.engine().report();
        } catch (IOException e) {
            FleetPieces from = FleetPieces.of(picture, mServices.regions());
            if (from.origin().isPresent() && from.isServed(model)) {
                mServices
                        .fetcher()
                        .fetch(manifest(from, model, target), from, PieceFetcher.Pace.FULL);
            }
            throw e;
        }
    }

    private PieceManifest manifest(FleetPieces from, String model, long version)
            throws IOException {
        boolean isKnown =
                mManifest
                        .filter(known -> known.model().equals(model) && known.version() == version)
                        .isPresent();
        if (!isKnown) {
            mManifest = Optional.of(mServices.fetcher().manifest(from, model, version));
        }
        return mManifest.orElseThrow();
    }

    /** Puts each piece that does not lie at the engine as it should. */
    private void stage(PieceManifest manifest) throws IOException, InterruptedException {
        int put = 0;
        for (int piece = 0; piece < manifest.pieces(); piece++) {
            Optional<byte[]> staged = mServices.engine().staged(manifest.model(), piece);
            if (staged.isPresent() && manifest.matches(piece, staged.get())) {
                continue;
            }
            Optional<byte[]> content =
                    mServices
                            .store()
                            .piece(manifest.model(), manifest.version(), piece, Duration.ZERO);
            if (content.isEmpty()) {
                throw new IOException("piece " + piece + " is no longer held");
            }
            mServices.engine().put(manifest.model(), piece, content.get());
            put++;
        }
        if (put > 0) {
            Logger.info(
                    "staged {} of {} pieces of version {} of {}",
                    put,
                    manifest.pieces(),
                    manifest.version(),
                    manifest.model());
        }
    }

    private boolean isTurn(String model, long target) {
        FleetSnapshot picture = mServices.picture().get();
        Map<String, Long> versions = new HashMap<>();
        for (Participant agent : peersOf(picture)) {
            versions.put(agent.getVm(), agent.getVersions().getOrDefault(model, 0L));
        }
        Participant self = mServices.state().participant();
        versions.put(self.getVm(), self.getVersions().getOrDefault(model, 0L));
        Duration now = mServices.clock().now();
        long held = self.getVersions().getOrDefault(model, 0L);
        Duration age = now.minus(picture.versionHistory(model).publishedAfter(held).orElse(now));
        return SwapTurns.isTurn(self.getVm(), versions, target, age, mLastCall);
    }

    private void load(PieceManifest manifest, boolean isServing)
            throws IOException, InterruptedException {
        String model = manifest.model();
        if (isServing) {
            tell(true, mServices.engine().report().versions());
            awaitNotice();
        }
        // Pieces may have turned bad since they were staged; the engine loads whatever lies there.
        stage(manifest);
        boolean isTaken = mServices.engine().start(model, manifest.version());
        Logger.info("ordered version {} of {}, taken: {}", manifest.version(), model, isTaken);
        Duration bound = mServices.clock().now().plus(LOAD_BOUND);
        while (isTaken && mServices.clock().now().compareTo(bound) < 0) {
            StagingEngine.Report report = mServices.engine().report();
            if (report.versions().getOrDefault(model, 0L) >= manifest.version()) {
                Logger.info("version {} of {} serves", manifest.version(), model);
                tell(false, report.versions());
                return;
            }
            pause(STEP_INTERVAL);
        }
        tell(false, mServices.engine().report().versions());
    }

    /** Waits until entries have heard that the engine takes no more requests. */
    private void awaitNotice() throws InterruptedException {
        Duration end = mServices.clock().now().plus(NOTICE);
        while (mServices.clock().now().compareTo(end) < 0) {
            pause(STEP_INTERVAL);
        }
    }

    private void tell(boolean isSwapping, Map<String, Long> versions) {
        if (mServices.state().set(isSwapping, versions)) {
            mServices.announce().run();
        }
    }

    /** Returns the other agents whose engines are registered. */
    private Iterable<Participant> peersOf(FleetSnapshot picture) {
        String self = mServices.state().participant().getVm();
        Set<String> registered =
                picture.endpoints(mService).stream()
                        .filter(EndpointInfo::isReady)
                        .map(endpoint -> endpoint.address().toString())
                        .collect(Collectors.toSet());
        return picture.participants(ParticipantRole.AGENT).stream()
                .filter(agent -> !agent.getVm().equals(self))
                .filter(agent -> agent.getServiceName().equals(mService))
                .filter(agent -> registered.contains(agent.getEndpoint()))
                .toList();
    }

    private void pause(Duration time) throws InterruptedException {
        mLock.lockInterruptibly();
        try {
            long left = time.toNanos();
            while (!mIsWoken && left > 0) {
                left = mWoken.awaitNanos(left);
            }
            mIsWoken = false;
        } finally {
            mLock.unlock();
        }
    }
}
