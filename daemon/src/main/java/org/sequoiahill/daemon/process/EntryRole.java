package org.sequoiahill.daemon.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.directory.DataCentreTable;
import org.sequoiahill.daemon.process.directory.DirectoryHandler;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.EntryHandler;
import org.sequoiahill.daemon.request.EntryServices;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.RequestMetrics;
import org.sequoiahill.daemon.request.RequestPolicy;
import org.sequoiahill.daemon.request.Router;
import org.sequoiahill.daemon.request.admission.AdmissionController;
import org.sequoiahill.daemon.request.retry.RetryBudget;
import org.sequoiahill.protocol.gen.Directory;

/**
 * The role of an entry, which serves callers, in a daemon whose settings list the entries and
 * stores; see {@link FleetEntryRole} for daemons that discover the others through seeds.
 */
@Singleton
final class EntryRole implements DaemonRole {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAX_SAVED_RETRIES = 50;

    private final DirectoryHandler mDirectoryHandler;
    private final List<Handler> mHandlers;
    private final EntryRequestServices mRequestServices;
    private final ConfigurationView mView;
    private final ScheduledExecutorService mScheduler;

    @Inject
    EntryRole(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            EndpointDirectory directory,
            DataCentreTable table,
            ControlClient client,
            HttpForwarder forwarder,
            MonotonicClock clock,
            RandomGenerator random,
            EntryRequestServices requestServices,
            RequestPolicy policy,
            PrometheusMeterRegistry metrics,
            ScheduledExecutorService scheduler) {
        mDirectoryHandler =
                DirectoryHandler.of(
                        settings, identity, view, sync, directory, table, client, clock);
        Router router =
                Router.of(
                        identity,
                        view,
                        directory,
                        table,
                        settings.entries(),
                        clock,
                        random,
                        policy);
        AdmissionController admission = AdmissionController.of(clock, router, scheduler);
        metrics.gauge("sequoia.admission.waiting", admission, AdmissionController::size);
        mRequestServices = requestServices;
        Handler requests =
                EntryHandler.of(
                        view,
                        new EntryServices(
                                router,
                                admission,
                                policy.hasRetryBudget()
                                        ? RetryBudget.of(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)
                                        : RetryBudget.unbounded(),
                                forwarder,
                                requestServices.hooks(),
                                RequestMetrics.on(metrics),
                                clock,
                                random,
                                scheduler));
        mHandlers = requestServices.dataHandlers(requests);
        mView = view;
        mScheduler = scheduler;
    }

    @Override
    public void register(ControlServer server) {
        server.register(ServiceStub.DIRECTORY, new Directory.Processor<>(mDirectoryHandler));
        mRequestServices.register(server);
    }

    @Override
    public List<Handler> dataHandlers() {
        return mHandlers;
    }

    @Override
    public void start() {
        mRequestServices.start();
        mDirectoryHandler.start(mScheduler);
    }

    @Override
    public boolean isReady() {
        return mView.current().revision() > 0;
    }

    @Override
    public void leave() {
        mDirectoryHandler.drain();
    }
}
