package org.sequoiahill.daemon.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.sequoiahill.daemon.process.admin.AdminHandler;
import org.sequoiahill.daemon.process.admin.AuditCalls;
import org.sequoiahill.daemon.process.admin.DocumentCalls;
import org.sequoiahill.daemon.process.admin.OperatorsHandler;
import org.sequoiahill.daemon.process.admin.StatusCalls;
import org.sequoiahill.daemon.process.admin.StoresCalls;
import org.sequoiahill.daemon.process.config.ConfigurationHandler;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.ConfigurationWriter;
import org.sequoiahill.daemon.process.config.StoreForwarder;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
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

/** One daemon: starts its roles, serves, and ends without cutting a request. */
@Singleton
public final class Daemon {
    private final DaemonSettings mSettings;
    private final HttpClient mHttpClient;
    private final ControlServer mControlServer;
    private final ControlClient mControlClient;
    private final ConfigurationSync mSync;
    private final List<DaemonRole> mRoles = new ArrayList<>();
    private final Server mDataServer;
    private final Server mAdminServer;
    private final CountDownLatch mStopped = new CountDownLatch(1);
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
            HttpClient httpClient,
            PrometheusMeterRegistry metrics,
            Provider<EntryRole> entry,
            Provider<StoreRole> store,
            Provider<AgentRole> agent) {
        mSettings = settings;
        mHttpClient = httpClient;
        mControlClient = controlClient;
        mSync = sync;
        mControlServer = ControlServer.bind(settings.control(), controlExecutor);
        StoreForwarder forwarder = StoreForwarder.of(controlClient, settings.stores());
        ConfigurationWriter writer = forwarder;
        Optional<Function<AuditQuery, AuditPage>> audit = Optional.empty();
        if (settings.hasRole(Role.STORE)) {
            mRoles.add(store.get());
            writer = store.get().writer();
            audit = Optional.of(store.get().machine()::audit);
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
        mDataServer = HttpServers.create("data", settings.data(), dataHandler());
        mAdminServer =
                HttpServers.create(
                        "admin",
                        settings.admin(),
                        new Handler.Sequence(
                                AdminHandler.of(metrics, this::isReady),
                                OperatorsHandler.of(
                                        settings.operators(),
                                        List.of(
                                                AuditCalls.of(forwarder, identity),
                                                StatusCalls.of(settings, view, directory, table),
                                                StoresCalls.of(
                                                        identity, controlClient, settings.stores()),
                                                DocumentCalls.of(identity, view, forwarder)))));
    }

    /**
     * Starts to serve.
     *
     * @throws Exception where an address can't be listened at
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

    /** Ends the daemon once running requests have ended. */
    public void stop() {
        mIsLeaving = true;
        Logger.info("{} is leaving", mSettings.vm());
        mRoles.forEach(DaemonRole::leave);
        stopServer(mDataServer);
        stopServer(mAdminServer);
        mControlServer.close();
        mControlClient.close();
        mStopped.countDown();
        Logger.info("{} stopped", mSettings.vm());
    }

    /** Waits until {@link #stop} has ended. */
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
            Logger.warn(e, "a server did not stop in time");
        }
    }
}
