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
 * Tells the entry that collects loads what the engine beside an agent does, often while that
 * changes and seldom while it does not.
 *
 * <p>Answers tell an entry of the load too, but only of the engines that it sends to, and at the
 * time of their first event. On a day at the engines' limit, entries that decide by loads half a
 * second old fill some engines' queues while others have room.
 */
public final class LoadReporter {
    private static final Duration BUSY_INTERVAL = Duration.ofMillis(120);
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(500);

    private final StagingEngine mEngine;
    private final HostPort mAddress;
    private final Supplier<FleetSnapshot> mPicture;
    private final ControlClient mClient;
    private final ScheduledExecutorService mScheduler;
    private final String mDataCentre;
    private EngineLoad mLastReported = new EngineLoad("", 0, 0, 0);
    private boolean mIsEngineUnreachable;
    private volatile boolean mIsReporting;
    private final AtomicInteger mFailures = new AtomicInteger();

    private LoadReporter(
            StagingEngine engine,
            HostPort address,
            String dataCentre,
            Supplier<FleetSnapshot> picture,
            ControlClient client,
            ScheduledExecutorService scheduler) {
        mEngine = engine;
        mAddress = address;
        mDataCentre = dataCentre;
        mPicture = picture;
        mClient = client;
        mScheduler = scheduler;
    }

    /** Returns a teller, not yet started. */
    public static LoadReporter of(
            StagingEngine engine,
            HostPort address,
            String dataCentre,
            Supplier<FleetSnapshot> picture,
            ControlClient client,
            ScheduledExecutorService scheduler) {
        return new LoadReporter(engine, address, dataCentre, picture, client, scheduler);
    }

    /** Starts to tell. */
    public void start() {
        schedule(IDLE_INTERVAL);
    }

    private void schedule(Duration interval) {
        mScheduler.schedule(this::poll, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void poll() {
        Duration next = IDLE_INTERVAL;
        try {
            StagingEngine.Status report = mEngine.status();
            EngineLoad load =
                    new EngineLoad(mAddress.toString(), report.running(), report.waiting(), 0);
            boolean isBusy = report.running() > 0 || report.waiting() > 0;
            if (isBusy || !load.equals(mLastReported)) {
                report(load);
                mLastReported = load;
            }
            next = isBusy ? BUSY_INTERVAL : IDLE_INTERVAL;
            mIsEngineUnreachable = false;
        } catch (IOException e) {
            if (!mIsEngineUnreachable) {
                Logger.info("the engine's load is not known: {}", e.toString());
            }
            mIsEngineUnreachable = true;
        } finally {
            schedule(next);
        }
    }

    /** Tells a load, unless the collector has not yet taken the one before. */
    private void report(EngineLoad load) {
        Optional<Participant> collector =
                LoadRelayTopology.among(mPicture.get().participants(ParticipantRole.ENTRY))
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
                .whenComplete((told, failure) -> onReported(address, failure));
    }

    private void onReported(HostPort address, @Nullable Throwable failure) {
        mIsReporting = false;
        if (failure != null) {
            // The next entry collects from now on, until that one can't be reached either.
            mFailures.incrementAndGet();
            Logger.info("{} does not collect loads: {}", address, failure.toString());
        }
    }
}
