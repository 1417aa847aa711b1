package org.sequoiahill.daemon.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.ByteBudget;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.fleet.FleetChangeProposer;
import org.sequoiahill.daemon.process.fleet.FleetView;
import org.sequoiahill.daemon.process.settings.FleetSettings;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.direct.ActiveExchanges;
import org.sequoiahill.daemon.request.direct.CallerMemory;
import org.sequoiahill.daemon.request.direct.DirectHandler;
import org.sequoiahill.daemon.request.direct.DirectServices;
import org.sequoiahill.daemon.request.direct.DirectSettings;
import org.sequoiahill.daemon.request.direct.Dispatcher;
import org.sequoiahill.daemon.request.direct.DrainDeadline;
import org.sequoiahill.daemon.request.direct.ServiceRetryBudgets;
import org.sequoiahill.daemon.request.direct.SlackShare;
import org.sequoiahill.daemon.request.load.LoadRelay;
import org.sequoiahill.daemon.request.quarantine.TraitQuarantine;
import org.sequoiahill.daemon.version.staging.PieceRelay;
import org.sequoiahill.daemon.version.staging.PieceStore;
import org.sequoiahill.protocol.gen.CrashReport;
import org.sequoiahill.protocol.gen.Crashes;
import org.sequoiahill.protocol.gen.LoadDigest;
import org.sequoiahill.protocol.gen.Loads;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.Pieces;
import org.tinylog.Logger;

/**
 * The role of an entry, which serves callers and sends requests directly to endpoints, in a daemon
 * that discovers the others through seeds.
 */
@Singleton
final class FleetEntryRole implements FleetDaemonRole {
    private static final String CALLERS = "callers";
    private static final String READY = "ready";

    /** Limit for the bytes of bodies that are held for callers. */
    private static final long MAX_CALLER_BYTES = 64 << 20;

    /** Time to write the final responses to requests that are unfinished after the drain. */
    private static final Duration FINAL_RESPONSE_TIME = Duration.ofMillis(300);

    /**
     * Age of a version, as a fraction of its rollout deadline, above which requests require that
     * version.
     */
    private static final double REQUIRE_VERSION_FRACTION = 0.875;

    /**
     * Age of a version, as a fraction of its rollout deadline, above which the entry aborts an
     * attempt at an endpoint with an older version whose response has not begun, in order to retry
     * the request.
     */
    private static final double RECALL_FRACTION = 0.93;

    private final FleetSettings mSettings;
    private final FleetAdapter mAdapter;
    private final Identity mIdentity;
    private final FleetView mView;
    private final DrainHandler mDrain;
    private final PieceRelay mPieces;
    private final LoadRelay mLoads;
    private final TraitQuarantine mQuarantine;
    private final ActiveExchanges mExchanges;
    private final MonotonicClock mClock;
    private final DrainSchedule mDrainSchedule;
    private final DrainDeadline mDrainDeadline = DrainDeadline.unset();
    private volatile boolean mIsLeaving;

    @Inject
    FleetEntryRole(
            FleetSettings settings,
            FleetAdapter adapter,
            Identity identity,
            FleetView view,
            HttpForwarder forwarder,
            HttpClient http,
            ControlClient client,
            MonotonicClock clock,
            RandomGenerator random,
            ScheduledExecutorService scheduler,
            PrometheusMeterRegistry metrics) {
        mSettings = settings;
        mAdapter = adapter;
        mIdentity = identity;
        mView = view;
        mClock = clock;
        mDrainSchedule = DrainSchedule.of(settings.limits().drainTimeout());
        DirectSettings direct = directSettings(settings);
        Dispatcher dispatcher =
                Dispatcher.of(view::snapshot, direct, clock, random, DelayedExecutor.of(scheduler));
        mLoads =
                LoadRelay.of(
                        identity,
                        view::snapshot,
                        dispatcher,
                        (entry, digest) -> forwardLoads(client, entry, digest),
                        DelayedExecutor.of(scheduler),
                        clock);
        mExchanges = ActiveExchanges.on(scheduler);
        metrics.gauge("sequoia.entry.running", mExchanges, ActiveExchanges::size);
        metrics.gauge("sequoia.entry.waiting", dispatcher, Dispatcher::queueLength);
        CallerMemory memory = CallerMemory.of(MAX_CALLER_BYTES);
        metrics.gauge("sequoia.entry.request.bytes", memory.requests(), ByteBudget::reserved);
        metrics.gauge("sequoia.entry.answer.bytes", memory.responses(), ByteBudget::reserved);
        SlackShare slackShare = SlackShare.of(direct, view::quorumContactSince, clock);
        view.addListener(slackShare::update);
        mQuarantine = quarantine(client, clock, scheduler, metrics);
        view.addListener(mQuarantine::update);
        DirectServices services =
                new DirectServices(
                        adapter.headerCodec(),
                        dispatcher,
                        ServiceRetryBudgets.of(direct, slackShare, clock, metrics),
                        mQuarantine,
                        forwarder,
                        mExchanges,
                        mDrainDeadline,
                        memory,
                        RateLimitedRequestLog.of(metrics, clock),
                        clock);
        DirectHandler requests = DirectHandler.of(services, view::snapshot, random);
        mDrain = new DrainHandler(requests, requests.refusing(DrainHandler.LEAVING));
        view.addListener(snapshot -> dispatcher.refresh());
        mPieces =
                PieceRelay.of(
                        identity,
                        view::snapshot,
                        settings.regions(),
                        adapter.weightsOrigin(http),
                        new PieceStore(),
                        client,
                        clock);
        ExecutorService prefetcher =
                Executors.newSingleThreadExecutor(ProcessModule.daemonThreads("draw"));
        view.addListener(snapshot -> mPieces.prefetch(snapshot, prefetcher));
    }

    private static DirectSettings directSettings(FleetSettings settings) {
        FleetSettings.FleetLimits limits = settings.limits();
        return new DirectSettings(
                settings.vm(),
                settings.regions(),
                settings.region(),
                limits.retryRatio(),
                limits.retryWindow(),
                limits.retrySlack(),
                fractionOf(limits.versionDeadline(), REQUIRE_VERSION_FRACTION),
                fractionOf(limits.versionDeadline(), RECALL_FRACTION));
    }

    private TraitQuarantine quarantine(
            ControlClient client,
            MonotonicClock clock,
            ScheduledExecutorService scheduler,
            PrometheusMeterRegistry metrics) {
        DelayedExecutor runner = DelayedExecutor.of(scheduler);
        FleetChangeProposer proposer =
                FleetChangeProposer.of(mIdentity, mView::stores, client, runner);
        return TraitQuarantine.of(
                mIdentity,
                mView::snapshot,
                (entry, report) -> sendCrashReport(client, entry, report),
                proposer::propose,
                runner,
                clock,
                metrics);
    }

    @Override
    public List<HttpServers.Listener> listeners() {
        return List.of(
                new HttpServers.Listener(CALLERS, mSettings.callerAddress().orElseThrow()),
                new HttpServers.Listener(READY, mSettings.readinessAddress().orElseThrow()));
    }

    @Override
    public Handler handler() {
        return new Handler.Sequence(new ReadyHandler(), mDrain);
    }

    @Override
    public void register(ControlServer server) {
        server.register(ServiceStub.PIECES, new Pieces.Processor<>(mPieces));
        server.register(ServiceStub.CRASHES, new Crashes.Processor<>(mQuarantine));
        server.register(ServiceStub.LOADS, new Loads.Processor<>(mLoads));
    }

    @Override
    public Participant participant() {
        return ParticipantFactory.of(mSettings, mIdentity);
    }

    @Override
    public void start() {
        // Callers are served as soon as the servers listen.
    }

    @Override
    public void leave() {
        mIsLeaving = true;
        mDrainDeadline.set(mClock.now().plus(mDrainSchedule.end()));
        mDrain.closeConnections();
    }

    @Override
    public void finishLeaving() throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(mDrainSchedule.probeGrace().toNanos());
        mDrain.drain(mDrainDeadline.timeLeft(mClock.now()));
        int unfinished = mExchanges.size();
        if (unfinished > 0) {
            Logger.warn("ends {} unfinished requests, as the time to drain is over", unfinished);
        }
        mExchanges.endAll();
        mDrain.drain(FINAL_RESPONSE_TIME);
    }

    private static CompletableFuture<?> forwardLoads(
            ControlClient client, HostPort entry, LoadDigest digest) {
        return client.call(
                entry,
                ServiceStub.LOADS,
                loads -> {
                    loads.passedOn(digest);
                    return digest;
                });
    }

    private static void sendCrashReport(ControlClient client, HostPort entry, CrashReport report) {
        client.call(
                        entry,
                        ServiceStub.CRASHES,
                        crashes -> {
                            crashes.report(report);
                            return report;
                        })
                .exceptionally(
                        failure -> {
                            Logger.info(
                                    "can't report crashes to {}: {}", entry, failure.toString());
                            return report;
                        });
    }

    private static Duration fractionOf(Duration time, double fraction) {
        return Duration.ofMillis((long) (time.toMillis() * fraction));
    }

    /**
     * Reports whether callers should be sent to this entry: it has a routing table and is not
     * leaving.
     */
    private final class ReadyHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            if (!HttpServers.listenerOf(request).equals(READY)) {
                return false;
            }
            boolean isReadyPath = Request.getPathInContext(request).equals(mAdapter.readyPath());
            boolean isReady = !mIsLeaving && mView.snapshot().table().isPresent();
            if (!isReadyPath) {
                response.setStatus(HttpStatus.NOT_FOUND_404);
            } else if (!isReady) {
                response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
            } else {
                response.setStatus(HttpStatus.OK_200);
            }
            callback.succeeded();
            return true;
        }
    }
}
