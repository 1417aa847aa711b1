package org.sequoiahill.daemon.process;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.config.ConfigurationSnapshot;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.directory.Announcer;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.AgentSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.AgentHandler;
import org.sequoiahill.daemon.request.EndpointGate;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.RequestPolicy;
import org.sequoiahill.daemon.request.gate.EngineLoadPoller;
import org.sequoiahill.daemon.request.once.AttemptBarHandler;
import org.sequoiahill.daemon.request.once.AttemptRecordingHooks;
import org.sequoiahill.daemon.request.once.AttemptTable;
import org.sequoiahill.daemon.version.swap.VersionReconciler;
import org.sequoiahill.protocol.gen.Announcement;

/**
 * The role of an agent, which forwards requests to one endpoint and updates its weights, in a
 * daemon whose settings list the entries and stores; see {@link FleetAgentRole} for daemons that
 * discover the others through seeds.
 */
@Singleton
final class AgentRole implements DaemonRole {
    private static final int MAX_RECORDED_ATTEMPTS = 100_000;
    private static final long MAX_RECORDED_RESPONSE_BYTES = 16L << 20;

    private final DaemonSettings mSettings;
    private final AgentSettings mAgent;
    private final Identity mIdentity;
    private final ScheduledExecutorService mScheduler;
    private final EndpointGate mGate;
    private final EngineLoadPoller mLoadPoller;
    private final Announcer mAnnouncer;
    private final VersionReconciler mVersions;
    private final List<Handler> mHandlers;
    private final ConfigurationView mView;
    private volatile boolean mIsLeaving;
    private volatile boolean mIsOutOfService;

    @Inject
    AgentRole(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            ControlClient control,
            HttpClient http,
            HttpForwarder forwarder,
            InstantSource time,
            MonotonicClock clock,
            RequestPolicy policy,
            RandomGenerator random,
            ScheduledExecutorService scheduler) {
        mSettings = settings;
        mAgent = settings.agent().orElseThrow();
        mIdentity = identity;
        mScheduler = scheduler;
        mView = view;
        mGate =
                EndpointGate.closed(
                        clock,
                        mAgent.capacityBytes(),
                        policy.limitOf(mAgent.capacity(), mAgent.warmUp()));
        mLoadPoller = EngineLoadPoller.of(mAgent.engine(), http, clock, mGate::report);
        mAnnouncer =
                Announcer.of(identity, localEntries(), control, sync, clock, this::announcement);
        AgentWeights weights =
                AgentWeights.of(
                        settings,
                        new AgentWeights.ProcessServices(
                                identity, view, control, http, clock, random),
                        mAnnouncer,
                        mGate);
        mVersions = weights.versions();
        AttemptTable attempts =
                AttemptTable.of(
                        identity.incarnation(),
                        time,
                        MAX_RECORDED_ATTEMPTS,
                        MAX_RECORDED_RESPONSE_BYTES);
        Handler requests =
                AgentHandler.of(
                        identity,
                        mAgent,
                        view,
                        mGate,
                        forwarder,
                        AttemptRecordingHooks.over(attempts));
        mHandlers =
                List.of(
                        AttemptBarHandler.over(attempts),
                        HttpServers.trackingExchanges(clock, request -> true, requests),
                        weights.chunks(),
                        weights.manifests());
    }

    @Override
    public void register(ControlServer server) {
        // An agent offers no control service of its own; Daemon registers the configuration
        // service.
    }

    @Override
    public List<Handler> dataHandlers() {
        return mHandlers;
    }

    @Override
    public void start() {
        mView.onChange(this::onConfigurationChange);
        mAnnouncer.start(mScheduler);
        mLoadPoller.start(mScheduler);
        mVersions.start(
                Executors.newSingleThreadScheduledExecutor(ProcessModule.daemonThreads("version")));
    }

    @Override
    public boolean isReady() {
        return mGate.isOpen();
    }

    @Override
    public void leave() {
        mIsLeaving = true;
        mGate.shutDown();
        mAnnouncer.announce().join();
    }

    /** Restarts the slow start once the data centre is back in service, because caches are cold. */
    private void onConfigurationChange(ConfigurationSnapshot snapshot) {
        boolean isOutOfService = snapshot.isOutOfService(mIdentity.dataCentre());
        if (mIsOutOfService && !isOutOfService) {
            mGate.restartSlowStart();
        }
        mIsOutOfService = isOutOfService;
    }

    private List<PeerVm> localEntries() {
        return mSettings.entries().stream()
                .filter(entry -> entry.dataCentre().equals(mSettings.dataCentre()))
                .toList();
    }

    private Announcement announcement() {
        VersionReconciler.Progress progress = mVersions.progress();
        return new Announcement(
                mIdentity.sender(),
                mAgent.service(),
                mSettings.data().toString(),
                mAgent.capacity(),
                mGate.running(),
                0,
                mGate.isOpen(),
                mIsLeaving,
                progress.servedName(),
                progress.servedDigest(),
                mAgent.checksFencing(),
                progress.chunksHeld(),
                progress.chunksStated(),
                mGate.load().limit(),
                0,
                0,
                false);
    }
}
