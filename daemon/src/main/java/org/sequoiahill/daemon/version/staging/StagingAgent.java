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
    private static final long INITIAL_VERSION = 1;

    private static final Duration IDLE_INTERVAL = Duration.ofMillis(400);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(60);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    /** Time in which entries hear that an engine is about to load. */
    private static final Duration PROPAGATION_TIME = Duration.ofMillis(120);

    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(5);

    private final Dependencies mServices;
    private final String mService;
    private final Duration mMaxTurnWait;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWakeUp = mLock.newCondition();
    private boolean mIsWakeUpPending;
    private long mSeenIndex;
    private volatile boolean mIsAwaitingTurn;
    private Optional<PieceManifest> mManifest = Optional.empty();
    private boolean mIsFailing;

    private StagingAgent(Dependencies services, String service, Duration lastCall) {
        mServices = services;
        mService = service;
        mMaxTurnWait = lastCall;
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
    public record Dependencies(
            Supplier<FleetSnapshot> picture,
            StagingEngine engine,
            PieceStore store,
            PieceFetcher fetcher,
            AgentState state,
            Runnable announce,
            Map<String, String> regions,
            MonotonicClock clock) {
        /** Copies the map. */
        public Dependencies {
            regions = Map.copyOf(regions);
        }
    }

    /**
     * Returns an agent.
     *
     * @param service service of the engine
     * @param lastCall age of a version from which its load waits for no other engine
     */
    public static StagingAgent of(Dependencies services, String service, Duration lastCall) {
        return new StagingAgent(services, service, lastCall);
    }

    /**
     * Lets the agent look at once where a change of the fleet matters to it: one of what the stores
     * agree on or, while it waits for its turn, any. Daemons that come and go do not.
     */
    public void onFleetChange(FleetSnapshot picture) {
        mLock.lock();
        try {
            long index = picture.state().index();
            if (index == mSeenIndex && !mIsAwaitingTurn) {
                return;
            }
            mSeenIndex = index;
            mIsWakeUpPending = true;
            mWakeUp.signalAll();
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
                    if (mIsFailing) {
                        Logger.info("the engine answers again");
                    }
                    mIsFailing = false;
                } catch (IOException e) {
                    if (!mIsFailing) {
                        Logger.warn("a step towards the newest version failed: {}", e.toString());
                    }
                    mIsFailing = true;
                    isDone = false;
                }
                Duration step = mIsFailing ? RETRY_INTERVAL : STEP_INTERVAL;
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
        long target = picture.state().version(model, INITIAL_VERSION);
        StagingEngine.Status report = statusOrPrefetch(picture, model, target);
        publishState(false, report.versions());
        long held = report.versions().getOrDefault(model, 0L);
        if (held >= target || report.isBusy()) {
            return !report.isBusy();
        }
        PieceSources from = PieceSources.of(picture, mServices.regions());
        if (from.origin().isEmpty()) {
            return true;
        }
        PieceManifest manifest = manifest(from, model, target);
        PieceFetcher.Parallelism pace =
                held > 0 ? PieceFetcher.Parallelism.WHILE_SERVING : PieceFetcher.Parallelism.FULL;
        if (!mServices.fetcher().fetch(manifest, from, pace)) {
            Logger.warn("version {} of {} is not here whole yet", target, model);
            return false;
        }
        mIsAwaitingTurn = held > 0 && !mayLoad(model, target);
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
    private StagingEngine.Status statusOrPrefetch(FleetSnapshot picture, String model, long target)
            throws IOException, InterruptedException {
        try {
            return mServices.engine().status();
        } catch (IOException e) {
            PieceSources from = PieceSources.of(picture, mServices.regions());
            if (from.origin().isPresent() && from.isModelServed(model)) {
                mServices
                        .fetcher()
                        .fetch(manifest(from, model, target), from, PieceFetcher.Parallelism.FULL);
            }
            throw e;
        }
    }

    private PieceManifest manifest(PieceSources from, String model, long version)
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
    private void ensureStaged(PieceManifest manifest) throws IOException, InterruptedException {
        int put = 0;
        for (int piece = 0; piece < manifest.pieces(); piece++) {
            Optional<byte[]> staged = mServices.engine().stagedPiece(manifest.model(), piece);
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
            mServices.engine().stage(manifest.model(), piece, content.get());
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

    private boolean mayLoad(String model, long target) {
        FleetSnapshot picture = mServices.picture().get();
        Map<String, Long> versions = new HashMap<>();
        for (Participant agent : otherAgents(picture)) {
            versions.put(agent.getVm(), agent.getVersions().getOrDefault(model, 0L));
        }
        Participant self = mServices.state().participant();
        versions.put(self.getVm(), self.getVersions().getOrDefault(model, 0L));
        Duration now = mServices.clock().now();
        long held = self.getVersions().getOrDefault(model, 0L);
        Duration age = now.minus(picture.versionHistory(model).publishedAfter(held).orElse(now));
        return SwapSchedule.mayLoad(self.getVm(), versions, target, age, mMaxTurnWait);
    }

    private void load(PieceManifest manifest, boolean isServing)
            throws IOException, InterruptedException {
        String model = manifest.model();
        if (isServing) {
            publishState(true, mServices.engine().status().versions());
            awaitPropagation();
        }
        // Pieces may have turned bad since they were staged; the engine loads whatever lies there.
        ensureStaged(manifest);
        boolean isTaken = mServices.engine().load(model, manifest.version());
        Logger.info("ordered version {} of {}, taken: {}", manifest.version(), model, isTaken);
        Duration bound = mServices.clock().now().plus(LOAD_TIMEOUT);
        while (isTaken && mServices.clock().now().compareTo(bound) < 0) {
            StagingEngine.Status report = mServices.engine().status();
            if (report.versions().getOrDefault(model, 0L) >= manifest.version()) {
                Logger.info("version {} of {} serves", manifest.version(), model);
                publishState(false, report.versions());
                return;
            }
            pause(STEP_INTERVAL);
        }
        publishState(false, mServices.engine().status().versions());
    }

    /** Waits until entries have heard that the engine takes no more requests. */
    private void awaitPropagation() throws InterruptedException {
        Duration end = mServices.clock().now().plus(PROPAGATION_TIME);
        while (mServices.clock().now().compareTo(end) < 0) {
            pause(STEP_INTERVAL);
        }
    }

    private void publishState(boolean isSwapping, Map<String, Long> versions) {
        if (mServices.state().update(isSwapping, versions)) {
            mServices.announce().run();
        }
    }

    /** Returns the other agents whose engines are registered. */
    private Iterable<Participant> otherAgents(FleetSnapshot picture) {
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
            while (!mIsWakeUpPending && left > 0) {
                left = mWakeUp.awaitNanos(left);
            }
            mIsWakeUpPending = false;
        } finally {
            mLock.unlock();
        }
    }
}
