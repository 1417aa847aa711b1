package org.sequoiahill.daemon.process;

import dagger.Module;
import dagger.Provides;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionHandler;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahill.daemon.connection.EndpointHttpClients;
import org.sequoiahill.daemon.process.claims.ClaimClient;
import org.sequoiahill.daemon.process.claims.ClaimRegistry;
import org.sequoiahill.daemon.process.config.ConfigurationFile;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.PropagationPlan;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.directory.DataCentreTable;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.RequestPolicy;

/** Provides the process-wide objects, which do not depend on the daemon's roles. */
@Module
final class ProcessModule {
    private static final int CONTROL_SERVER_THREADS = 256;
    private static final int CONTROL_CLIENT_THREADS = 64;
    private static final long IDLE_THREAD_SECONDS = 30;
    private static final int SCHEDULER_THREADS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final int CLIENT_THREADS = 32;
    private static final int MAX_CONNECTIONS_PER_PEER = 4_096;
    private static final int MAX_QUEUED_PER_PEER = 16_384;

    private ProcessModule() {}

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
    static Identity identity(DaemonSettings settings, InstantSource time) {
        long incarnation = time.millis();
        return Identity.of(settings.vm(), settings.dataCentre(), incarnation);
    }

    @Provides
    @Singleton
    static PrometheusMeterRegistry metrics() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        new JvmMemoryMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        return registry;
    }

    @Provides
    @Singleton
    static ExecutorService controlExecutor() {
        // Handlers may block until a commit, and the commit may need other handlers to run.
        return boundedThreads(
                "control", CONTROL_SERVER_THREADS, new ThreadPoolExecutor.AbortPolicy());
    }

    @Provides
    @Singleton
    static ScheduledExecutorService scheduler() {
        return Executors.newScheduledThreadPool(SCHEDULER_THREADS, daemonThreads("scheduler"));
    }

    @Provides
    @Singleton
    static ControlTraffic controlTraffic(PrometheusMeterRegistry metrics) {
        return ControlTraffic.on(metrics);
    }

    @Provides
    @Singleton
    static ControlClient controlClient(ControlTraffic traffic) {
        return ControlClient.on(
                boundedThreads(
                        "control-call",
                        CONTROL_CLIENT_THREADS,
                        new ThreadPoolExecutor.CallerRunsPolicy()),
                traffic);
    }

    @Provides
    @Singleton
    static ClaimRegistry claims(DaemonSettings settings, Identity identity, ControlClient client) {
        return ClaimClient.of(identity, client, settings.stores());
    }

    @Provides
    @Singleton
    static ConfigurationView view(DaemonSettings settings, Identity identity) {
        return ConfigurationView.restored(
                identity, ConfigurationFile.in(settings.dataFolder().resolve("configuration")));
    }

    @Provides
    @Singleton
    static ConfigurationSync sync(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ControlClient client,
            ScheduledExecutorService scheduler,
            MonotonicClock clock,
            RandomGenerator random) {
        PropagationPlan plan = PropagationPlan.of(settings);
        return ConfigurationSync.of(identity, view, client, plan, scheduler, clock, random);
    }

    @Provides
    @Singleton
    static EndpointDirectory directory(MonotonicClock clock) {
        return EndpointDirectory.of(clock);
    }

    @Provides
    @Singleton
    static DataCentreTable dataCentres(MonotonicClock clock) {
        return DataCentreTable.of(clock);
    }

    @Provides
    @Singleton
    static HttpClient httpClient() {
        QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, 2);
        threads.setName("http-client");
        return EndpointHttpClients.create(
                threads,
                new EndpointHttpClients.Limits(
                        MAX_CONNECTIONS_PER_PEER,
                        MAX_QUEUED_PER_PEER,
                        CONNECT_TIMEOUT,
                        IDLE_TIMEOUT));
    }

    @Provides
    @Singleton
    static HttpForwarder forwarder(HttpClient client) {
        return HttpForwarder.over(client);
    }

    @Provides
    @Singleton
    static RequestPolicy policy() {
        return RequestPolicy.fromSystemProperties();
    }

    private static ExecutorService boundedThreads(
            String name, int maxThreads, RejectedExecutionHandler whenFull) {
        return new ThreadPoolExecutor(
                0,
                maxThreads,
                IDLE_THREAD_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                daemonThreads(name),
                whenFull);
    }

    static ThreadFactory daemonThreads(String name) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
