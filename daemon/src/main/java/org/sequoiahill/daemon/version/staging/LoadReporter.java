package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.load.LoadRelayTopology;
import org.sequoiahill.protocol.gen.EngineLoad;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.tinylog.Logger;

/**
 * Reports the load of an agent's engine to the entry that collects loads: every 120 ms while the
 * engine is busy; while the engine is idle, the reporter reads the load every 500 ms and reports
 * changes only.
 *
 * <p>A response carries the load too, but only the entry that sent the request receives it, and the
 * value dates from the first event of the response's stream. Near the engines' capacity limit,
 * entries that route by loads half a second old overfill some engines' queues while others have
 * free capacity.
 */
public final class LoadReporter {
    private static final Duration BUSY_INTERVAL = Duration.ofMillis(120);
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(500);

    private final StagingEngine mEngine;
    private final HostPort mAddress;
    private final Supplier<FleetSnapshot> mSnapshot;
    private final ControlClient mClient;
    private final ScheduledExecutorService mScheduler;
    private final String mDataCentre;

    /**
     * Load that was read last. A report of it may have failed or been skipped; while the engine is
     * idle, the same load is not reported again even then.
     */
    private EngineLoad mLastLoad = new EngineLoad("", 0, 0, 0);

    private boolean mIsEngineUnreachable;
    private volatile boolean mIsReporting;
    private final AtomicInteger mFailures = new AtomicInteger();

    private LoadReporter(
            StagingEngine engine,
            HostPort address,
            String dataCentre,
            Supplier<FleetSnapshot> snapshot,
            ControlClient client,
            ScheduledExecutorService scheduler) {
        mEngine = engine;
        mAddress = address;
        mDataCentre = dataCentre;
        mSnapshot = snapshot;
        mClient = client;
        mScheduler = scheduler;
    }

    /** Returns a reporter that is not started yet. */
    public static LoadReporter of(
            StagingEngine engine,
            HostPort address,
            String dataCentre,
            Supplier<FleetSnapshot> snapshot,
            ControlClient client,
            ScheduledExecutorService scheduler) {
        return new LoadReporter(engine, address, dataCentre, snapshot, client, scheduler);
    }

    /** Starts reporting. */
    public void start() {
        schedule(IDLE_INTERVAL);
    }

    private void schedule(Duration interval) {
        mScheduler.schedule(this::poll, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void poll() {
        Duration next = IDLE_INTERVAL;
        try {
            StagingEngine.Status status = mEngine.status();
            EngineLoad load =
                    new EngineLoad(mAddress.toString(), status.running(), status.waiting(), 0);
            boolean isBusy = status.running() > 0 || status.waiting() > 0;
            if (isBusy || !load.equals(mLastLoad)) {
                report(load);
                mLastLoad = load;
            }
            next = isBusy ? BUSY_INTERVAL : IDLE_INTERVAL;
            mIsEngineUnreachable = false;
        } catch (IOException e) {
            if (!mIsEngineUnreachable) {
                Logger.info("can't read the engine's load: {}", e.toString());
            }
            mIsEngineUnreachable = true;
        } finally {
            schedule(next);
        }
    }

    /**
     * Reports a load. Does nothing if the previous report is still in progress or there is no
     * collector.
     */
    private void report(EngineLoad load) {
        Optional<Participant> collector =
                LoadRelayTopology.among(mSnapshot.get().participants(ParticipantRole.ENTRY))
                        .collector(mDataCentre, mFailures.get());
        if (mIsReporting || collector.isEmpty()) {
            return;
        }
        mIsReporting = true;
        HostPort address = HostPort.parse(collector.get().getControl());
        mClient.call(
                        address,
                        ServiceStub.LOADS,
                        client -> {
                            client.told(load);
                            return load;
                        })
                .whenComplete((ignored, failure) -> onReported(address, failure));
    }

    private void onReported(HostPort address, @Nullable Throwable failure) {
        mIsReporting = false;
        if (failure != null) {
            // Later reports go to the next entry, until a call to it fails too.
            mFailures.incrementAndGet();
            Logger.info("load report to {} failed: {}", address, failure.toString());
        }
    }
}
