package org.sequoiahill.daemon.process;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.claims.ClaimLimits;
import org.sequoiahill.daemon.process.claims.ClaimsHandler;
import org.sequoiahill.daemon.process.claims.ClaimsStateMachine;
import org.sequoiahill.daemon.process.config.ConfigurationLimits;
import org.sequoiahill.daemon.process.config.ConfigurationStateMachine;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.ConfigurationWriter;
import org.sequoiahill.daemon.process.config.LeaderWriter;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.controller.OriginBudget;
import org.sequoiahill.daemon.process.controller.SwapLeaseHandler;
import org.sequoiahill.daemon.process.log.StateMachine;
import org.sequoiahill.daemon.process.log.StoreGroup;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Claims;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.Turns;

/**
 * The role of a store, which is a member of the replicated logs, in a daemon whose settings list
 * the entries and stores; see {@link FleetStoreRole} for daemons that discover the others through
 * seeds.
 */
@Singleton
final class StoreRole implements DaemonRole {
    private final DaemonSettings mSettings;
    private final Identity mIdentity;
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final InstantSource mTime;
    private final ControlTraffic mTraffic;
    private final ConfigurationStateMachine mConfigStateMachine;
    private final StoreGroup mConfigGroup;
    private final StoreGroup mClaimsGroup;
    private final ConfigurationWriter mWriter;
    private final SwapLeaseHandler mSwapLeases;
    private final ClaimsHandler mClaims;

    @Inject
    StoreRole(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ControlClient client,
            MonotonicClock clock,
            InstantSource time,
            RandomGenerator random,
            ControlTraffic traffic) {
        mSettings = settings;
        mIdentity = identity;
        mClock = clock;
        mRandom = random;
        mTime = time;
        mTraffic = traffic;
        mConfigStateMachine =
                ConfigurationStateMachine.of(identity, view, ConfigurationLimits.standard());
        ClaimsStateMachine claims = ClaimsStateMachine.of(ClaimLimits.standard());
        mConfigGroup = openGroup("config", ServiceStub.LOG_CONFIG, mConfigStateMachine);
        mClaimsGroup = openGroup("claims", ServiceStub.LOG_CLAIMS, claims);
        mClaims = ClaimsHandler.of(identity, mClaimsGroup.log(), claims, time);
        mWriter = LeaderWriter.of(identity, mConfigGroup.log(), mConfigStateMachine, time);
        mSwapLeases =
                SwapLeaseHandler.of(
                        identity,
                        view,
                        mConfigGroup.log(),
                        client,
                        settings.stores(),
                        OriginBudget.standard(settings.entryDataCentreCount()),
                        clock);
    }

    /** Returns the writer that commits changes while this store is the leader. */
    ConfigurationWriter writer() {
        return mWriter;
    }

    /** Returns the state machine of the configuration log. */
    ConfigurationStateMachine configurationStateMachine() {
        return mConfigStateMachine;
    }

    @Override
    public void register(ControlServer server) {
        mConfigGroup.register(server);
        mClaimsGroup.register(server);
        server.register(ServiceStub.TURNS, new Turns.Processor<>(mSwapLeases));
        server.register(ServiceStub.CLAIMS, new Claims.Processor<>(mClaims));
    }

    @Override
    public List<Handler> dataHandlers() {
        return List.of();
    }

    @Override
    public void start() {
        mConfigGroup.log().start();
        mClaimsGroup.log().start();
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void leave() {
        // A store stops without notice; the other voters still form a quorum.
    }

    private StoreGroup openGroup(String name, ServiceStub<Log.Client> stub, StateMachine machine) {
        return StoreGroup.open(
                name, stub, machine, mSettings, mIdentity, mClock, mRandom, mTime, mTraffic);
    }
}
