package org.sequoiahill.daemon.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.admin.AdminHandler;
import org.sequoiahill.daemon.process.admin.AuditApi;
import org.sequoiahill.daemon.process.admin.DocumentApi;
import org.sequoiahill.daemon.process.admin.OperatorApiHandler;
import org.sequoiahill.daemon.process.admin.StatusApi;
import org.sequoiahill.daemon.process.admin.StoresApi;
import org.sequoiahill.daemon.process.config.ConfigurationHandler;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.ConfigurationWriter;
import org.sequoiahill.daemon.process.config.StoreForwarder;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.directory.DataCentreTable;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.Role;
import org.sequoiahill.protocol.gen.AuditPage;
import org.sequoiahill.protocol.gen.AuditQuery;
import org.sequoiahill.protocol.gen.Configuration;
import org.tinylog.Logger;

/** One daemon: starts its roles, serves requests, and drains them before it stops. */
@Singleton
public final class Daemon {
    private final DaemonSettings mSettings;
    private final HttpClient mHttpClient;
    private final ControlServer mControlServer;
    private final ControlClient mControlClient;
    private final ConfigurationSync mSync;
    private final List<DaemonRole> mRoles = new ArrayList<>();
    private final DrainHandler mDrain;
    private final DrainHandler mAdminDrain;
    private final Server mDataServer;
    private final Server mAdminServer;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private final CompletableFuture<@Nullable Void> mStopNow = new CompletableFuture<>();
    private volatile boolean mIsLeaving;

    @Inject
    Daemon(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            EndpointDirectory directory,
            DataCentreTable table,
            ControlClient controlClient,
            ExecutorService controlExecutor,
            ControlTraffic controlTraffic,
            HttpClient httpClient,
            PrometheusMeterRegistry metrics,
            Provider<EntryRole> entry,
            Provider<StoreRole> store,
            Provider<AgentRole> agent) {
        mSettings = settings;
        mHttpClient = httpClient;
        mControlClient = controlClient;
        mSync = sync;
        mControlServer = ControlServer.bind(settings.control(), controlExecutor, controlTraffic);
        StoreForwarder forwarder = StoreForwarder.of(controlClient, settings.stores());
        ConfigurationWriter writer = forwarder;
        Optional<Function<AuditQuery, AuditPage>> audit = Optional.empty();
        if (settings.hasRole(Role.STORE)) {
            mRoles.add(store.get());
            writer = store.get().writer();
            audit = Optional.of(store.get().configurationStateMachine()::audit);
        }
        if (settings.hasRole(Role.ENTRY)) {
            mRoles.add(entry.get());
        }
        if (settings.hasRole(Role.AGENT)) {
            mRoles.add(agent.get());
        }
        mControlServer.register(
                ServiceStub.CONFIGURATION,
                new Configuration.Processor<>(
                        ConfigurationHandler.of(identity, view, sync, writer, audit)));
        mRoles.forEach(role -> role.register(mControlServer));
        mDrain = new DrainHandler(dataHandler());
        mDataServer = HttpServers.create("data", settings.data(), mDrain);
        mAdminDrain =
                new DrainHandler(
                        new Handler.Sequence(
                                AdminHandler.of(metrics, this::isReady),
                                OperatorApiHandler.of(
                                        settings.operators(),
                                        List.of(
                                                AuditApi.of(forwarder, identity),
                                                StatusApi.of(settings, view, directory, table),
                                                StoresApi.of(
                                                        identity, controlClient, settings.stores()),
                                                DocumentApi.of(identity, view, forwarder)))));
        mAdminServer = HttpServers.create("admin", settings.admin(), mAdminDrain);
    }

    /**
     * Starts to serve.
     *
     * @throws Exception if an address can't be bound
     */
    public void start() throws Exception {
        mHttpClient.start();
        mControlServer.start();
        mSync.start();
        mDataServer.start();
        mAdminServer.start();
        mRoles.forEach(DaemonRole::start);
        Logger.info("{} started with roles {}", mSettings.vm(), mSettings.roles());
    }

    /**
     * Starts to drain and returns. The daemon stops once running requests of callers, and then
     * those of operators, have completed or the drain limit of each has elapsed; requests that are
     * interrupted are logged. A second call skips the waits.
     */
    public void stop() {
        if (mIsLeaving) {
            Logger.warn(
                    "{} received a second stop request and no longer waits for requests",
                    mSettings.vm());
            mStopNow.complete(null);
            return;
        }
        mIsLeaving = true;
        Thread thread = new Thread(this::drainAndStop, "shutdown");
        thread.start();
    }

    private void drainAndStop() {
        Logger.info("{} is leaving", mSettings.vm());
        mDrain.closeConnections();
        mRoles.forEach(DaemonRole::leave);
        await(mStopNow.copy(), mSettings.drain().linger());
        drainAndStop(mDrain, mDataServer);
        // Operators can follow the drain until the last request of a caller has ended.
        mAdminDrain.closeConnections();
        drainAndStop(mAdminDrain, mAdminServer);
        mControlServer.close();
        mControlClient.close();
        Logger.info("{} stopped", mSettings.vm());
        mStopped.countDown();
    }

    private void drainAndStop(DrainHandler drain, Server server) {
        await(
                CompletableFuture.anyOf(drain.refuseNewRequests(), mStopNow),
                mSettings.drain().timeout());
        List<String> interrupted = drain.runningRequests();
        if (!interrupted.isEmpty()) {
            Logger.warn(
                    "{} interrupts {} running requests: {}",
                    mSettings.vm(),
                    interrupted.size(),
                    interrupted);
        }
        if (mStopNow.isDone()) {
            server.setStopTimeout(0);
        }
        stopServer(server);
    }

    /** Waits until a future completes, and completes it itself once a time has elapsed. */
    private static void await(CompletableFuture<?> future, Duration time) {
        future.completeOnTimeout(null, time.toMillis(), TimeUnit.MILLISECONDS).join();
    }

    /** Waits until the daemon has stopped after a call of {@link #stop}. */
    public void awaitStop() throws InterruptedException {
        mStopped.await();
    }

    private boolean isReady() {
        return !mIsLeaving && mRoles.stream().allMatch(DaemonRole::isReady);
    }

    private Handler dataHandler() {
        List<Handler> handlers = new ArrayList<>();
        mRoles.forEach(role -> handlers.addAll(role.dataHandlers()));
        return new Handler.Sequence(handlers);
    }

    private static void stopServer(Server server) {
        try {
            server.stop();
        } catch (Exception e) {
            Logger.warn(e, "stopping a server failed");
        }
    }
}
