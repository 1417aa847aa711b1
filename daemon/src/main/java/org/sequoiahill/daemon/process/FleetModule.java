package org.sequoiahill.daemon.process;

import dagger.Module;
import dagger.Provides;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionHandler;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahill.daemon.connection.EndpointHttpClients;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.fleet.FleetView;
import org.sequoiahill.daemon.process.settings.FleetSettings;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.HttpForwarder;

/** Provides the process-wide objects of a {@link FleetDaemon}, sized for a VM with one core. */
@Module
final class FleetModule {
    private static final int HTTP_THREADS = 24;
    private static final int HTTP_IDLE_THREADS = 4;
    private static final int CONTROL_THREADS = 512;
    private static final int CONTROL_CALL_THREADS = 128;
    private static final long IDLE_THREAD_SECONDS = 20;
    private static final int SCHEDULER_THREADS = 1;

    /** Timeouts of control calls; a long poll of {@code StoreWatcher} lasts 900 ms. */
    private static final ControlClient.Timeouts CONTROL_TIMEOUTS =
            new ControlClient.Timeouts(Duration.ofMillis(500), Duration.ofMillis(1_400));

    private FleetModule() {}

    @Provides
    @Singleton
    static MonotonicClock clock() {
        return MonotonicClock.system();
    }

    @Provides
    @Singleton
    static InstantSource time() {
        return InstantSource.system();
    }

    @Provides
    @Singleton
    static RandomGenerator random() {
        return RandomGenerator.getDefault();
    }

    @Provides
    @Singleton
    static Identity identity(FleetSettings settings, InstantSource time) {
        return Identity.of(settings.vm(), settings.dataCentre(), time.millis());
    }

    @Provides
    @Singleton
    static PrometheusMeterRegistry metrics() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }

    @Provides
    @Singleton
    static ControlTraffic traffic(PrometheusMeterRegistry metrics) {
        return ControlTraffic.on(metrics);
    }

    @Provides
    @Singleton
    static ScheduledExecutorService scheduler() {
        ScheduledThreadPoolExecutor scheduler =
                new ScheduledThreadPoolExecutor(
                        SCHEDULER_THREADS, ProcessModule.daemonThreads("scheduler"));
        scheduler.setRemoveOnCancelPolicy(true);
        return scheduler;
    }

    @Provides
    @Singleton
    static ControlServer controlServer(FleetSettings settings, ControlTraffic traffic) {
        // Each watching daemon keeps one long poll open, which occupies a thread.
        return ControlServer.bind(
                settings.control(),
                threads("control", CONTROL_THREADS, new ThreadPoolExecutor.AbortPolicy()),
                traffic);
    }

    @Provides
    @Singleton
    static ControlClient controlClient(ControlTraffic traffic) {
        return ControlClient.on(
                threads(
                        "control-call",
                        CONTROL_CALL_THREADS,
                        new ThreadPoolExecutor.CallerRunsPolicy()),
                traffic,
                CONTROL_TIMEOUTS);
    }

    @Provides
    @Singleton
    static QueuedThreadPool httpThreads() {
        QueuedThreadPool threads = new QueuedThreadPool(HTTP_THREADS, HTTP_IDLE_THREADS);
        threads.setName("http");
        threads.setDaemon(true);
        threads.setReservedThreads(0);
        return threads;
    }

    @Provides
    @Singleton
    static HttpClient httpClient(QueuedThreadPool threads) {
        return EndpointHttpClients.create(threads, EndpointHttpClients.Limits.forFleet());
    }

    @Provides
    @Singleton
    static HttpForwarder forwarder(HttpClient client) {
        return HttpForwarder.over(client);
    }

    @Provides
    @Singleton
    static FleetView view(
            MonotonicClock clock, FleetAdapter adapter, ScheduledExecutorService scheduler) {
        return FleetView.of(clock, adapter.routingTableFormat(), DelayedExecutor.of(scheduler));
    }

    static ExecutorService threads(String name, int maxThreads, RejectedExecutionHandler whenFull) {
        return new ThreadPoolExecutor(
                0,
                maxThreads,
                IDLE_THREAD_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                ProcessModule.daemonThreads(name),
                whenFull);
    }
}
