package org.sequoiahill.daemon.process;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.claims.ClaimBounds;
import org.sequoiahill.daemon.process.claims.ClaimsHandler;
import org.sequoiahill.daemon.process.claims.ClaimsMachine;
import org.sequoiahill.daemon.process.config.ConfigurationBounds;
import org.sequoiahill.daemon.process.config.ConfigurationMachine;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.ConfigurationWriter;
import org.sequoiahill.daemon.process.config.LeaderWriter;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.controller.OriginBudget;
import org.sequoiahill.daemon.process.controller.TurnHandler;
import org.sequoiahill.daemon.process.log.FixedLeaderLog;
import org.sequoiahill.daemon.process.log.ReplicatedLog;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Claims;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.Turns;

/** The role of a voter of the replicated log. */
@Singleton
final class StoreRole implements DaemonRole {
    private final ScheduledExecutorService mScheduler;
    private final FixedLeaderLog mLog;
    private final ConfigurationMachine mMachine;
    private final ConfigurationWriter mWriter;
    private final TurnHandler mTurns;
    private final ClaimsHandler mClaims;

    @Inject
    StoreRole(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ControlClient client,
            MonotonicClock clock,
            InstantSource time,
            ScheduledExecutorService scheduler) {
        mScheduler = scheduler;
        mMachine = ConfigurationMachine.of(identity, view, ConfigurationBounds.standard());
        ClaimsMachine claims = ClaimsMachine.of(ClaimBounds.standard());
        try {
            mLog =
                    FixedLeaderLog.open(
                            identity,
                            settings.stores(),
                            client,
                            SharedLog.applier(List.of(mMachine::apply, claims::apply)),
                            settings.dataFolder().resolve("log"));
        } catch (IOException e) {
            throw new UncheckedIOException("the log can't be opened", e);
        }
        ReplicatedLog config = SharedLog.part(mLog, 0);
        mClaims = ClaimsHandler.of(identity, SharedLog.part(mLog, 1), claims, time);
        mWriter = LeaderWriter.of(identity, config, mMachine, time);
        mTurns =
                TurnHandler.of(
                        identity,
                        view,
                        mLog,
                        client,
                        settings.stores(),
                        OriginBudget.standard(settings.dataCentres()),
                        clock);
    }

    /** Returns what commits changes while this store leads. */
    ConfigurationWriter writer() {
        return mWriter;
    }

    /** Returns the configuration as this store has applied it. */
    ConfigurationMachine machine() {
        return mMachine;
    }

    @Override
    public void register(ControlServer server) {
        server.register(ServiceStub.LOG, new Log.Processor<>(mLog));
        server.register(ServiceStub.TURNS, new Turns.Processor<>(mTurns));
        server.register(ServiceStub.CLAIMS, new Claims.Processor<>(mClaims));
    }

    @Override
    public List<Handler> dataHandlers() {
        return List.of();
    }

    @Override
    public void start() {
        mLog.start(mScheduler);
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void leave() {
        // A voter stops without notice; the others keep the majority.
    }
}
