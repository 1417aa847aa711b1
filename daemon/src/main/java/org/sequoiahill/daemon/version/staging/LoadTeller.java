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
import org.sequoiahill.daemon.request.load.LoadPaths;
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
public final class LoadTeller {
    private static final Duration BUSY_INTERVAL = Duration.ofMillis(120);
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(500);

    private final StagingEngine mEngine;
    private final HostPort mAddress;
    private final Supplier<FleetSnapshot> mPicture;
    private final ControlClient mClient;
    private final ScheduledExecutorService mScheduler;
    private final String mDataCentre;
    private EngineLoad mTold = new EngineLoad("", 0, 0, 0);
    private boolean mIsLost;
    private volatile boolean mIsTelling;
    private final AtomicInteger mFailures = new AtomicInteger();

    private LoadTeller(
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
    public static LoadTeller of(
            StagingEngine engine,
            HostPort address,
            String dataCentre,
            Supplier<FleetSnapshot> picture,
            ControlClient client,
            ScheduledExecutorService scheduler) {
        return new LoadTeller(engine, address, dataCentre, picture, client, scheduler);
    }

    /** Starts to tell. */
    public void start() {
        schedule(IDLE_INTERVAL);
    }

    private void schedule(Duration interval) {
        mScheduler.schedule(this::look, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void look() {
        Duration next = IDLE_INTERVAL;
        try {
            StagingEngine.Report report = mEngine.report();
            EngineLoad load =
                    new EngineLoad(mAddress.toString(), report.running(), report.waiting(), 0);
            boolean isBusy = report.running() > 0 || report.waiting() > 0;
            if (isBusy || !load.equals(mTold)) {
                tell(load);
                mTold = load;
            }
            next = isBusy ? BUSY_INTERVAL : IDLE_INTERVAL;
            mIsLost = false;
        } catch (IOException e) {
            if (!mIsLost) {
                Logger.info("the engine's load is not known: {}", e.toString());
            }
            mIsLost = true;
        } finally {
            schedule(next);
        }
    }

    /** Tells a load, unless the collector has not yet taken the one before. */
    private void tell(EngineLoad load) {
        Optional<Participant> collector =
                LoadPaths.among(mPicture.get().participants(ParticipantRole.ENTRY))
                        .collector(mDataCentre, mFailures.get());
        if (mIsTelling || collector.isEmpty()) {
            return;
        }
        mIsTelling = true;
        HostPort address = HostPort.parse(collector.get().getControl());
        mClient.call(
                        address,
                        ServiceStub.LOADS,
                        client -> {
                            client.told(load);
                            return load;
                        })
                .whenComplete((told, failure) -> told(address, failure));
    }

    private void told(HostPort address, @Nullable Throwable failure) {
        mIsTelling = false;
        if (failure != null) {
            // The next entry collects from now on, until that one can't be reached either.
            mFailures.incrementAndGet();
            Logger.info("{} does not collect loads: {}", address, failure.toString());
        }
    }
}
