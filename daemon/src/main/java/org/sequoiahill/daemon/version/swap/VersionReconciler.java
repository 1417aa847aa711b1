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

/** Brings the endpoint to the version that the configuration states, one step at a time. */
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
    private final LoadOrderFile mRecord;
    private final MonotonicClock mClock;
    private final Executor mOrderExecutor;
    private final SwapStateMachine mMachine;
    private final Queue<Runnable> mEvents = new ConcurrentLinkedQueue<>();
    private Optional<LoadOrder> mLastOrder;
    private boolean mIsAwaitingConfirmation;
    private volatile Progress mProgress = new Progress("", "", 0, 0);

    private VersionReconciler(Dependencies parts, boolean checksFencing) {
        mService = parts.service();
        mView = parts.view();
        mStore = parts.store();
        mProvisioner = parts.supply();
        mLeases = parts.turns();
        mEngine = parts.engine();
        mGate = parts.gate();
        mRecord = parts.record();
        mClock = parts.clock();
        mOrderExecutor = parts.orders();
        mLastOrder = mRecord.load();
        mMachine =
                SwapStateMachine.start(
                        checksFencing, SwapTiming.standard(), mLastOrder, mClock.now());
    }

    /**
     * What a loop works with.
     *
     * @param service service of the endpoint
     * @param view configuration
     * @param store cache of weights
     * @param supply brings the stated version whole
     * @param turns asks for turns
     * @param engine engine beside this agent
     * @param gate gate before the engine
     * @param record last order
     * @param clock time
     * @param orders runs orders, which may take long
     */
    public record Dependencies(
            String service,
            ConfigurationView view,
            ChunkStore store,
            VersionProvisioner supply,
            SwapLeaseClient turns,
            EngineClient engine,
            EndpointGate gate,
            LoadOrderFile record,
            MonotonicClock clock,
            Executor orders) {}

    /** Returns the loop of one agent. */
    public static VersionReconciler of(Dependencies parts, boolean checksFencing) {
        return new VersionReconciler(parts, checksFencing);
    }

    /**
     * How far the endpoint is.
     *
     * @param servedName version that is served
     * @param servedDigest manifest digest of the version that is served
     * @param chunksHeld chunks held of the stated version
     * @param chunksStated chunks that the stated version has
     */
    public record Progress(
            String servedName, String servedDigest, int chunksHeld, int chunksStated) {}

    /** Starts to take a step every interval. */
    public void start(ScheduledExecutorService scheduler) {
        scheduler.execute(this::recover);
        PeriodicTasks.schedule(scheduler, INTERVAL, "version", this::stepSafely);
    }

    /** Returns how far the endpoint is. */
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
            Logger.error(e, "the cache of weights can't be read");
        }
    }

    private void stepSafely() {
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
            // Goes on until there is nothing to do now.
        }
        publishProgress();
    }

    private Set<String> pinnedVersions() {
        Set<String> needed = new HashSet<>();
        mMachine.served().ifPresent(needed::add);
        mLastOrder.ifPresent(order -> needed.add(order.version()));
        return needed;
    }

    /** Carries one action out; returns whether there may be another one now. */
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
        Duration asked = mClock.now();
        Optional<SwapLeaseClient.SwapLease> turn =
                mLeases.acquire(mMachine.targetDigest(), mMachine.isIdle());
        if (turn.isPresent()) {
            mMachine.leaseGranted(turn.get().fence(), turn.get().lease(), asked);
        } else {
            mMachine.leaseRefused(mClock.now());
        }
    }

    private void recordAndSend(LoadOrder order) {
        try {
            mRecord.save(order);
        } catch (IOException e) {
            Logger.error(e, "the order can't be recorded, so it is not given");
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
