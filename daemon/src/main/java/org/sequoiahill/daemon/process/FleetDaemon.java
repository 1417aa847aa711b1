package org.sequoiahill.daemon.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahill.daemon.process.admin.AdminHandler;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.fleet.FleetView;
import org.sequoiahill.daemon.process.fleet.StoreWatcher;
import org.sequoiahill.daemon.process.settings.FleetSettings;
import org.sequoiahill.daemon.process.settings.FleetSettings.FleetRole;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.tinylog.Logger;

/**
 * One daemon that discovers the others through seeds: starts its role, serves, and drains. A {@link
 * Daemon}, by contrast, is configured with the addresses of the others.
 */
@Singleton
public final class FleetDaemon {
    private static final String METRICS = "metrics";

    /** Longest time for which open connections may be read before the process exits. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(600);

    private final FleetSettings mSettings;
    private final HttpClient mHttpClient;
    private final ControlServer mControlServer;
    private final FleetDaemonRole mRole;
    private final StoreWatcher mWatcher;
    private final MonotonicClock mClock;
    private final Server mServer;
    private final CountDownLatch mDrained = new CountDownLatch(1);
    private final AtomicBoolean mIsLeaving = new AtomicBoolean();

    @Inject
    FleetDaemon(
            FleetSettings settings,
            SeedSource seeds,
            FleetView view,
            ControlServer controlServer,
            ControlClient controlClient,
            HttpClient httpClient,
            QueuedThreadPool threads,
            MonotonicClock clock,
            ScheduledExecutorService scheduler,
            PrometheusMeterRegistry metrics,
            Provider<FleetEntryRole> entry,
            Provider<FleetStoreRole> store,
            Provider<FleetAgentRole> agent) {
        mSettings = settings;
        mHttpClient = httpClient;
        mControlServer = controlServer;
        mClock = clock;
        mRole =
                switch (settings.role()) {
                    case ENTRY -> entry.get();
                    case STORE -> store.get();
                    case AGENT -> agent.get();
                };
        mRole.register(controlServer);
        mWatcher =
                StoreWatcher.of(
                        view,
                        controlClient,
                        clock,
                        scheduler,
                        mRole::participant,
                        seeds::seeds,
                        settings.dataCentre());
        if (settings.role() == FleetRole.AGENT) {
            agent.get().setAnnouncer(mWatcher);
        }
        List<HttpServers.Listener> listeners = new ArrayList<>(mRole.listeners());
        listeners.add(new HttpServers.Listener(METRICS, settings.metrics()));
        AdminHandler admin = AdminHandler.of(metrics, () -> !mIsLeaving.get());
        mServer =
                HttpServers.createForAddresses(
                        threads,
                        listeners,
                        new Handler.Sequence(new MetricsOnly(admin), mRole.handler()));
    }

    /**
     * Starts to serve.
     *
     * @throws Exception if an address can't be bound
     */
    public void start() throws Exception {
        mControlServer.start();
        mServer.start();
        mHttpClient.start();
        // A store keeps the fleet's state itself and watches no other store.
        if (mSettings.role() != FleetRole.STORE) {
            mWatcher.start();
        }
        mRole.start();
        Logger.info(
                "{} started as {} at {}",
                mSettings.displayName(),
                mSettings.role(),
                mSettings.control());
    }

    /**
     * Starts to drain and returns. {@link #awaitDrain} returns once {@link
     * FleetDaemonRole#finishLeaving} has and the connections are closed; the caller then ends the
     * process.
     */
    public void stop() {
        if (mIsLeaving.getAndSet(true)) {
            Logger.warn(
                    "{} ignores another stop request; it is leaving already",
                    mSettings.displayName());
            return;
        }
        Logger.info("{} is leaving", mSettings.displayName());
        Thread thread = ProcessModule.daemonThreads("shutdown").newThread(this::drainRole);
        thread.start();
    }

    /** Waits until the drain that {@link #stop} started has ended. */
    public void awaitDrain() throws InterruptedException {
        mDrained.await();
        Logger.info(
                "{} has drained and exits with {} open connections",
                mSettings.displayName(),
                HttpServers.openConnections(mServer));
    }

    private void drainRole() {
        try {
            mRole.leave();
            mRole.finishLeaving();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            Logger.error(e, "{} failed to drain", mSettings.displayName());
        } finally {
            closeConnections();
        }
    }

    private void closeConnections() {
        try {
            // The exit of the JVM takes hundreds of milliseconds, in which nothing would be
            // answered.
            HttpServers.closeConnections(mServer, CLOSE_TIMEOUT, mClock);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mDrained.countDown();
        }
    }

    /**
     * Restricts a handler to the metrics address and responds with 404 to paths that the handler
     * does not serve.
     */
    private static final class MetricsOnly extends Handler.Wrapper {
        MetricsOnly(Handler handler) {
            super(handler);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            if (!HttpServers.listenerOf(request).equals(METRICS)) {
                return false;
            }
            if (!super.handle(request, response, callback)) {
                Response.writeError(request, response, callback, 404);
            }
            return true;
        }
    }
}
