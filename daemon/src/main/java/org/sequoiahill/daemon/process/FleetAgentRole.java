package org.sequoiahill.daemon.process;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.fleet.FleetView;
import org.sequoiahill.daemon.process.fleet.StoreWatcher;
import org.sequoiahill.daemon.process.settings.FleetSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.version.staging.AgentState;
import org.sequoiahill.daemon.version.staging.LoadReporter;
import org.sequoiahill.daemon.version.staging.PieceFetcher;
import org.sequoiahill.daemon.version.staging.PieceStore;
import org.sequoiahill.daemon.version.staging.StagedPieceService;
import org.sequoiahill.daemon.version.staging.StagingAgent;
import org.sequoiahill.daemon.version.staging.StagingEngine;
import org.sequoiahill.daemon.version.staging.WeightsOrigin;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.Pieces;

/**
 * The role of an agent, which keeps the engine on its VM at the newest version, in a daemon that
 * discovers the others through seeds.
 */
@Singleton
final class FleetAgentRole implements FleetDaemonRole {
    /**
     * Time since the first version newer than the loaded one was published, as a fraction of the
     * rollout deadline, from which an agent loads without waiting for other engines.
     */
    private static final double LOAD_UNCONDITIONALLY_FRACTION = 0.86;

    private final AgentState mState;
    private final StagingAgent mAgent;
    private final LoadReporter mLoads;
    private final StagedPieceService mPieces;
    private volatile Runnable mAnnounce = () -> {};

    @Inject
    FleetAgentRole(
            FleetSettings settings,
            FleetAdapter adapter,
            Identity identity,
            FleetView view,
            ControlClient client,
            HttpClient http,
            MonotonicClock clock,
            InstantSource wallClock,
            ScheduledExecutorService scheduler) {
        mState = AgentState.of(ParticipantFactory.of(settings, identity));
        PieceStore store = new PieceStore();
        StagingEngine engine = adapter.stagingEngine(http, settings.engine().orElseThrow());
        mLoads =
                LoadReporter.of(
                        engine,
                        settings.engine().orElseThrow(),
                        settings.dataCentre(),
                        view::snapshot,
                        client,
                        scheduler);
        mPieces = StagedPieceService.of(identity, mState, store, engine);
        WeightsOrigin origin = adapter.weightsOrigin(http);
        ExecutorService workers =
                Executors.newFixedThreadPool(
                        PieceFetcher.WORKERS, ProcessModule.daemonThreads("fetch"));
        mAgent =
                StagingAgent.of(
                        new StagingAgent.Dependencies(
                                view::snapshot,
                                engine,
                                store,
                                PieceFetcher.of(
                                        identity,
                                        settings.region(),
                                        origin,
                                        store,
                                        engine,
                                        client,
                                        workers),
                                mState,
                                () -> mAnnounce.run(),
                                settings.regions(),
                                clock,
                                wallClock),
                        settings.service(),
                        loadUnconditionallyAfter(settings));
        view.addListener(mAgent::onFleetChange);
    }

    /** Sets the watcher that announces the agent's state to all stores. */
    void setAnnouncer(StoreWatcher watcher) {
        mAnnounce = watcher::announce;
    }

    @Override
    public List<HttpServers.Listener> listeners() {
        return List.of();
    }

    @Override
    public Handler handler() {
        return new Handler.Sequence();
    }

    @Override
    public void register(ControlServer server) {
        server.register(ServiceStub.PIECES, new Pieces.Processor<>(mPieces));
    }

    @Override
    public Participant participant() {
        return mState.participant();
    }

    @Override
    public void start() {
        Thread thread = ProcessModule.daemonThreads("agent").newThread(mAgent);
        thread.start();
        mLoads.start();
    }

    @Override
    public void leave() {
        // The engine continues to serve without its agent.
    }

    @Override
    public void finishLeaving() {
        // Nothing is interrupted: the engine completes a load that has been ordered.
    }

    private static Duration loadUnconditionallyAfter(FleetSettings settings) {
        return Duration.ofMillis(
                (long)
                        (settings.limits().versionDeadline().toMillis()
                                * LOAD_UNCONDITIONALLY_FRACTION));
    }
}
