package org.sequoiahill.daemon.version.swap;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.daemon.request.EndpointGate;
import org.sequoiahill.daemon.version.cache.ChunkStore;
import org.sequoiahill.daemon.version.fetch.VersionProvisioner;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.tinylog.Logger;

/** Brings the endpoint to the configured version, one step at a time. */
public final class VersionReconciler {
    private static final Duration INTERVAL = Duration.ofMillis(50);
    private static final int STEPS_PER_INTERVAL = 16;

    private final String mService;
    private final ConfigurationView mView;
    private final ChunkStore mStore;
    private final VersionProvisioner mProvisioner;
    private final SwapLeaseClient mLeases;
    private final EngineClient mEngine;
    private final EndpointGate mGate;
    private final LoadOrderFile mOrderFile;
    private final MonotonicClock mClock;
    private final Executor mOrderExecutor;
    private final SwapStateMachine mMachine;
    private final Queue<Runnable> mEvents = new ConcurrentLinkedQueue<>();
    private Optional<LoadOrder> mLastOrder;
    private boolean mIsAwaitingConfirmation;
    private volatile Progress mProgress = new Progress("", "", 0, 0);

    private VersionReconciler(Dependencies dependencies, boolean checksFencing) {
        mService = dependencies.service();
        mView = dependencies.view();
        mStore = dependencies.store();
        mProvisioner = dependencies.provisioner();
        mLeases = dependencies.leases();
        mEngine = dependencies.engine();
        mGate = dependencies.gate();
        mOrderFile = dependencies.orderFile();
        mClock = dependencies.clock();
        mOrderExecutor = dependencies.orderExecutor();
        mLastOrder = mOrderFile.load();
        mMachine =
                SwapStateMachine.start(
                        checksFencing, SwapTiming.standard(), mLastOrder, mClock.now());
    }

    /**
     * Collaborators of a reconciler.
     *
     * @param service service of the endpoint
     * @param view configuration
     * @param store weights cache
     * @param provisioner fetches and verifies the configured version
     * @param leases acquires and releases swap leases
     * @param engine engine of this agent
     * @param gate gate in front of the engine
     * @param orderFile file that holds the last order
     * @param clock monotonic clock
     * @param orderExecutor sends load orders, each of which may take up to a minute
     */
    public record Dependencies(
            String service,
            ConfigurationView view,
            ChunkStore store,
            VersionProvisioner provisioner,
            SwapLeaseClient leases,
            EngineClient engine,
            EndpointGate gate,
            LoadOrderFile orderFile,
            MonotonicClock clock,
            Executor orderExecutor) {}

    /** Returns the reconciler of one agent. */
    public static VersionReconciler of(Dependencies dependencies, boolean checksFencing) {
        return new VersionReconciler(dependencies, checksFencing);
    }

    /**
     * Progress of the endpoint.
     *
     * @param servedName name of the version that is served; empty if none is
     * @param servedDigest manifest digest of the version that is served; empty if none is
     * @param chunksHeld chunks held of the configured version; 0 if this process has not fetched it
     * @param chunksStated chunks of the configured version; 0 if this process has not fetched it
     */
    public record Progress(
            String servedName, String servedDigest, int chunksHeld, int chunksStated) {}

    /** Starts performing steps periodically. */
    public void start(ScheduledExecutorService scheduler) {
        scheduler.execute(this::recover);
        PeriodicTasks.schedule(scheduler, INTERVAL, "version", this::runStep);
    }

    /** Returns the progress of the endpoint. */
    public Progress progress() {
        return mProgress;
    }

    private void recover() {
        try {
            mStore.recover();
            if (mLastOrder.isPresent()) {
                mProvisioner.adoptRecovered(mLastOrder.get().version());
            }
        } catch (IOException e) {
            Logger.error(e, "can't read the weights cache");
        }
    }

    private void runStep() {
        try {
            step();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step() throws InterruptedException {
        Optional<ServiceDocument> service = mView.current().service(mService);
        if (service.isEmpty()) {
            return;
        }
        if (service.get().kind() == ServiceDocument.Kind.PLAIN) {
            mGate.open("");
            return;
        }
        ServiceDocument.Version version = service.get().version().orElseThrow();
        mProvisioner.step(version, pinnedVersions());
        for (Runnable event = mEvents.poll(); event != null; event = mEvents.poll()) {
            event.run();
        }
        mMachine.observe(Optional.of(version.manifestDigest()), mProvisioner.completeVersions());
        for (int i = 0; i < STEPS_PER_INTERVAL && act(mMachine.next(mClock.now())); i++) {
            // The loop's condition carries out the actions.
        }
        publishProgress();
    }

    private Set<String> pinnedVersions() {
        Set<String> pinned = new HashSet<>();
        mMachine.served().ifPresent(pinned::add);
        mLastOrder.ifPresent(order -> pinned.add(order.version()));
        return pinned;
    }

    /** Carries out one action; returns whether another one may follow immediately. */
    private boolean act(SwapStateMachine.Action action) throws InterruptedException {
        switch (action) {
            case READ_BACK -> readBack();
            case ACQUIRE_LEASE -> acquireLease();
            case CLOSE_GATE -> mGate.close().thenRun(() -> mEvents.add(mMachine::drained));
            case SEND_ORDER -> recordAndSend(mMachine.order());
            case PROBE -> mMachine.probed(mEngine.isHealthy(), mClock.now());
            case OPEN_GATE -> open(mMachine.served().orElseThrow());
            case RELEASE_LEASE -> {
                mLeases.release(mMachine.targetDigest());
                mMachine.leaseReleased();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void readBack() throws InterruptedException {
        Optional<String> reported = mEngine.loadedDigest();
        if (mIsAwaitingConfirmation && reported.isPresent()) {
            mIsAwaitingConfirmation = false;
            mLastOrder
                    .map(LoadOrder::version)
                    .filter(ordered -> !reported.get().equals(ordered))
                    .ifPresent(mProvisioner::invalidate);
        }
        mMachine.readBack(reported, mClock.now());
    }

    private void acquireLease() {
        Duration requestedAt = mClock.now();
        Optional<SwapLeaseClient.SwapLease> lease =
                mLeases.acquire(mMachine.targetDigest(), mMachine.isIdle());
        if (lease.isPresent()) {
            mMachine.leaseGranted(lease.get().fence(), lease.get().lease(), requestedAt);
        } else {
            mMachine.leaseRefused(mClock.now());
        }
    }

    private void recordAndSend(LoadOrder order) {
        try {
            mOrderFile.save(order);
        } catch (IOException e) {
            Logger.error(e, "can't record the load order, so it is not sent");
            mMachine.orderCompleted(LoadOrderResult.REFUSED, mClock.now());
            return;
        }
        mLastOrder = Optional.of(order);
        mOrderExecutor.execute(() -> send(order));
    }

    private void send(LoadOrder order) {
        try {
            LoadOrderResult result =
                    mEngine.load(
                            nameOf(order.version()),
                            mStore.folderOf(order.version()),
                            order.fence());
            mEvents.add(
                    () -> {
                        mIsAwaitingConfirmation = result == LoadOrderResult.ACCEPTED;
                        mMachine.orderCompleted(result, mClock.now());
                    });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void open(String digest) {
        mGate.open(digest);
        Logger.info("serving version {} ({})", nameOf(digest), digest);
    }

    private String nameOf(String digest) {
        return mStore.manifest(digest).map(manifest -> manifest.version()).orElse("");
    }

    private void publishProgress() {
        String served = mMachine.served().orElse("");
        int[] chunks = mProvisioner.progress();
        mProgress = new Progress(nameOf(served), served, chunks[0], chunks[1]);
    }
}
