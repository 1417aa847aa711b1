package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
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
 * Keeps this agent's engine at the latest published version: fetches the pieces, waits until the
 * engine may load, ensures that intact pieces are staged, and orders the load, which starts once
 * the engine's running requests have ended.
 */
public final class StagingAgent implements Runnable {
    /** Version of a model while none has been published; engines start with it. */
    private static final long INITIAL_VERSION = 1;

    private static final Duration IDLE_INTERVAL = Duration.ofMillis(400);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(60);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    /** Time for the entries to learn that the engine is about to load. */
    private static final Duration PROPAGATION_TIME = Duration.ofMillis(120);

    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(5);

    private final Dependencies mDependencies;
    private final String mService;
    private final Duration mMaxLoadWait;
    private final VerifiedLoad mLoad;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWakeUp = mLock.newCondition();
    private boolean mIsWakeUpPending;
    private long mSeenIndex;
    private volatile boolean mIsWaitingToLoad;
    private Optional<VersionManifest> mManifest = Optional.empty();
    private boolean mIsFailing;

    private StagingAgent(Dependencies dependencies, String service, Duration maxLoadWait) {
        mDependencies = dependencies;
        mService = service;
        mMaxLoadWait = maxLoadWait;
        mLoad =
                new VerifiedLoad(
                        dependencies.engine(),
                        dependencies.store(),
                        dependencies.clock(),
                        dependencies.wallClock());
    }

    /**
     * Collaborators of an agent.
     *
     * @param snapshot current snapshot of the fleet
     * @param engine engine of the agent
     * @param store verified pieces
     * @param fetcher fetches pieces
     * @param state state that the agent publishes
     * @param announce sends the agent's current state to all stores
     * @param regions region of each data centre
     * @param clock monotonic clock
     * @param wallClock wall clock
     */
    public record Dependencies(
            Supplier<FleetSnapshot> snapshot,
            StagingEngine engine,
            PieceStore store,
            PieceFetcher fetcher,
            AgentState state,
            Runnable announce,
            Map<String, String> regions,
            MonotonicClock clock,
            InstantSource wallClock) {
        /** Copies the map. */
        public Dependencies {
            regions = Map.copyOf(regions);
        }
    }

    /**
     * Returns an agent.
     *
     * @param service service of the engine
     * @param maxLoadWait time since the first version newer than the loaded one was published, from
     *     which a load does not wait for other engines
     */
    public static StagingAgent of(Dependencies dependencies, String service, Duration maxLoadWait) {
        return new StagingAgent(dependencies, service, maxLoadWait);
    }

    /**
     * Wakes the agent if a change of the fleet is relevant to it: a change of the replicated state
     * or, while the agent waits until it may load, any change. Daemons that join or leave are
     * otherwise irrelevant.
     */
    public void onFleetChange(FleetSnapshot snapshot) {
        mLock.lock();
        try {
            long index = snapshot.state().index();
            if (index == mSeenIndex && !mIsWaitingToLoad) {
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
                        Logger.info("the agent's steps succeed again");
                    }
                    mIsFailing = false;
                } catch (IOException e) {
                    if (!mIsFailing) {
                        Logger.warn("a step towards the latest version failed: {}", e.toString());
                    }
                    mIsFailing = true;
                    isDone = false;
                }
                Duration interval = mIsFailing ? RETRY_INTERVAL : STEP_INTERVAL;
                pause(isDone ? IDLE_INTERVAL : interval);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Performs one step; returns whether nothing is left to do for now. */
    private boolean step() throws IOException, InterruptedException {
        FleetSnapshot snapshot = mDependencies.snapshot().get();
        Optional<EngineProfile> profile =
                snapshot.table()
                        .flatMap(table -> table.service(mService))
                        .flatMap(RoutedService::engine);
        if (profile.isEmpty()) {
            return true;
        }
        String model = profile.get().model();
        long target = snapshot.state().version(model, INITIAL_VERSION);
        StagingEngine.Status status = statusOrPrefetch(snapshot, model, target);
        publishLoaded(model, status);
        long loaded = status.versions().getOrDefault(model, 0L);
        if (loaded >= target || status.isBusy()) {
            return !status.isBusy();
        }
        PieceSources sources = PieceSources.of(snapshot, mDependencies.regions());
        if (sources.origin().isEmpty()) {
            return true;
        }
        VersionManifest manifest = manifest(sources, model, target);
        PieceFetcher.Parallelism parallelism =
                loaded > 0 ? PieceFetcher.Parallelism.WHILE_SERVING : PieceFetcher.Parallelism.FULL;
        if (!mDependencies.fetcher().fetch(manifest, sources, parallelism)) {
            Logger.warn("version {} of {} is not completely fetched yet", target, model);
            return false;
        }
        mIsWaitingToLoad = loaded > 0 && !mayLoad(model, target);
        if (mIsWaitingToLoad) {
            return false;
        }
        load(manifest.current(), status);
        return false;
    }

    /**
     * Returns the engine's status. If the engine does not respond, it is probably starting, so the
     * pieces are prefetched, which takes most of the time until it serves. If no engine of the
     * fleet serves the model, all of them are starting and most have their pieces staged already,
     * so nothing is fetched.
     */
    private StagingEngine.Status statusOrPrefetch(FleetSnapshot snapshot, String model, long target)
            throws IOException, InterruptedException {
        try {
            return mDependencies.engine().status();
        } catch (IOException e) {
            PieceSources sources = PieceSources.of(snapshot, mDependencies.regions());
            if (sources.origin().isPresent() && sources.isModelServed(model)) {
                mDependencies
                        .fetcher()
                        .fetch(
                                manifest(sources, model, target),
                                sources,
                                PieceFetcher.Parallelism.FULL);
            }
            throw e;
        }
    }

    private VersionManifest manifest(PieceSources sources, String model, long version)
            throws IOException {
        boolean isCached =
                mManifest
                        .map(VersionManifest::current)
                        .filter(
                                cached ->
                                        cached.model().equals(model) && cached.version() == version)
                        .isPresent();
        if (!isCached) {
            mManifest = Optional.of(mDependencies.fetcher().manifest(sources, model, version));
        }
        return mManifest.orElseThrow();
    }

    private boolean mayLoad(String model, long target) {
        FleetSnapshot snapshot = mDependencies.snapshot().get();
        Map<String, Long> versions = new HashMap<>();
        for (Participant agent : otherAgents(snapshot)) {
            versions.put(agent.getVm(), agent.getVersions().getOrDefault(model, 0L));
        }
        Participant self = mDependencies.state().participant();
        versions.put(self.getVm(), self.getVersions().getOrDefault(model, 0L));
        Duration now = mDependencies.clock().now();
        long loaded = self.getVersions().getOrDefault(model, 0L);
        Duration age = now.minus(snapshot.versionHistory(model).publishedAfter(loaded).orElse(now));
        return SwapSchedule.mayLoad(self.getVm(), versions, target, age, mMaxLoadWait);
    }

    /**
     * Loads a version. The engine is published as swapping until its pieces are known to be intact,
     * so that entries don't use it before.
     */
    private void load(PieceManifest manifest, StagingEngine.Status before)
            throws IOException, InterruptedException {
        String model = manifest.model();
        publishState(true, before.versions());
        if (before.versions().getOrDefault(model, 0L) > 0) {
            awaitPropagation();
        }
        boolean isAccepted = mLoad.order(manifest);
        Duration deadline = mDependencies.clock().now().plus(LOAD_TIMEOUT);
        while (isAccepted && mDependencies.clock().now().compareTo(deadline) < 0) {
            StagingEngine.Status status = mDependencies.engine().status();
            if (status.versions().getOrDefault(model, 0L) >= manifest.version()) {
                Logger.info("the engine serves version {} of {}", manifest.version(), model);
                publishLoaded(model, status);
                return;
            }
            pause(STEP_INTERVAL);
        }
        publishLoaded(model, mDependencies.engine().status());
    }

    /** Publishes what the engine has loaded; one with corrupt pieces stays out of use. */
    private void publishLoaded(String model, StagingEngine.Status status) throws IOException {
        long loaded = status.versions().getOrDefault(model, 0L);
        publishState(!mLoad.isIntact(model, loaded), status.versions());
    }

    /** Gives the entries time to learn that the engine is about to load. */
    private void awaitPropagation() throws InterruptedException {
        Duration end = mDependencies.clock().now().plus(PROPAGATION_TIME);
        while (mDependencies.clock().now().compareTo(end) < 0) {
            pause(STEP_INTERVAL);
        }
    }

    private void publishState(boolean isSwapping, Map<String, Long> versions) {
        if (mDependencies.state().update(isSwapping, versions)) {
            mDependencies.announce().run();
        }
    }

    /** Returns the other agents of the service whose engines are registered and ready. */
    private Iterable<Participant> otherAgents(FleetSnapshot snapshot) {
        String self = mDependencies.state().participant().getVm();
        Set<String> registered =
                snapshot.endpoints(mService).stream()
                        .filter(EndpointInfo::isReady)
                        .map(endpoint -> endpoint.address().toString())
                        .collect(Collectors.toSet());
        return snapshot.participants(ParticipantRole.AGENT).stream()
                .filter(agent -> !agent.getVm().equals(self))
                .filter(agent -> agent.getServiceName().equals(mService))
                .filter(agent -> registered.contains(agent.getEndpoint()))
                .toList();
    }

    private void pause(Duration time) throws InterruptedException {
        mLock.lockInterruptibly();
        try {
            long remaining = time.toNanos();
            while (!mIsWakeUpPending && remaining > 0) {
                remaining = mWakeUp.awaitNanos(remaining);
            }
            mIsWakeUpPending = false;
        } finally {
            mLock.unlock();
        }
    }
}
