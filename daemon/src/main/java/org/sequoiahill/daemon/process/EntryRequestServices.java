package org.sequoiahill.daemon.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.sequoiahill.daemon.connection.ExchangeMonitor;
import org.sequoiahill.daemon.connection.LivenessTracker;
import org.sequoiahill.daemon.process.claims.ClaimRegistry;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.EntryHooks;
import org.sequoiahill.daemon.request.RequestHeaders;
import org.sequoiahill.daemon.request.once.AgentAddressResolver.Address;
import org.sequoiahill.daemon.request.once.AttemptBarClient;
import org.sequoiahill.daemon.request.once.AttemptBarRelayHandler;
import org.sequoiahill.daemon.request.once.AttemptNumberGenerator;
import org.sequoiahill.daemon.request.once.ClaimBasedRunOnce;
import org.sequoiahill.daemon.request.quarantine.SharedQuarantine;
import org.sequoiahill.daemon.request.quarantine.SuspectBroadcaster;
import org.sequoiahill.daemon.request.quarantine.SuspectTable;
import org.sequoiahill.daemon.request.stream.BufferedStreamRelay;
import org.sequoiahill.daemon.request.stream.ParkingPolicy;
import org.sequoiahill.protocol.gen.Suspects;

/** Services of an entry for its requests: claims, monitoring, stream buffers and quarantine. */
@Singleton
final class EntryRequestServices {
    private static final LivenessTracker.Limits LIVENESS_LIMITS =
            new LivenessTracker.Limits(Duration.ofSeconds(2), 3);

    /**
     * Limits of the stream buffers: bytes buffered by all streams, and how long a caller may stall
     * with a full buffer until its stream is cancelled at the engine.
     */
    private static final ParkingPolicy PARKING_POLICY =
            new ParkingPolicy(32L << 20, Duration.ofSeconds(5));

    private static final int MAX_SUSPECTS = 10_000;

    /**
     * Maximum number of entries per other data centre that a request to bar an attempt is sent to.
     */
    private static final int MAX_ENTRIES_PER_DATA_CENTRE = 2;

    private final DaemonSettings mSettings;
    private final EndpointDirectory mDirectory;
    private final MonotonicClock mClock;
    private final ScheduledExecutorService mScheduler;
    private final ProbeClient mProbeClient = ProbeClient.create();
    private final ExchangeMonitor mMonitor;
    private final AttemptBarClient mBarClient;
    private final ClaimBasedRunOnce mRunOnce;
    private final SuspectBroadcaster mSuspects;
    private final SharedQuarantine mQuarantine;
    private final BufferedStreamRelay mStreams;

    @Inject
    EntryRequestServices(
            DaemonSettings settings,
            Identity identity,
            EndpointDirectory directory,
            ClaimRegistry registry,
            ControlClient control,
            MonotonicClock clock,
            InstantSource time,
            RandomGenerator random,
            PrometheusMeterRegistry metrics,
            ScheduledExecutorService scheduler) {
        mSettings = settings;
        mDirectory = directory;
        mClock = clock;
        mScheduler = scheduler;
        SuspectTable suspects = SuspectTable.of(clock, MAX_SUSPECTS);
        mSuspects = SuspectBroadcaster.of(identity, suspects, control, otherEntries(settings));
        mQuarantine = SharedQuarantine.of(suspects, random, mSuspects::broadcast, metrics);
        mStreams = BufferedStreamRelay.of(PARKING_POLICY, clock, mQuarantine, scheduler, metrics);
        mMonitor =
                ExchangeMonitor.of(
                        LIVENESS_LIMITS, clock, mProbeClient.exchangeStatusClient(), metrics);
        mBarClient = AttemptBarClient.of(mProbeClient.http(), this::addressesOf);
        mRunOnce =
                ClaimBasedRunOnce.of(
                        identity,
                        registry,
                        mBarClient,
                        AttemptNumberGenerator.of(time, random),
                        clock,
                        scheduler,
                        metrics);
    }

    /** Returns the hooks into the handling of requests. */
    EntryHooks hooks() {
        return new EntryHooks(mQuarantine, mRunOnce, mStreams, mMonitor);
    }

    /**
     * Returns the handlers for the data address: one that forwards requests to bar an attempt, and
     * {@code requests} with its exchanges tracked.
     */
    List<Handler> dataHandlers(Handler requests) {
        return List.of(
                AttemptBarRelayHandler.over(mBarClient),
                HttpServers.trackingExchanges(mClock, EntryRequestServices::isForwarded, requests));
    }

    void register(ControlServer server) {
        server.register(ServiceStub.SUSPECTS, new Suspects.Processor<>(mSuspects));
    }

    void start() {
        mProbeClient.start();
        mSuspects.fetchFromPeers();
        mStreams.start();
        mMonitor.start(mScheduler);
    }

    /**
     * Returns where to send a request to bar an attempt: the agent's own data address if its
     * endpoint is known, otherwise the entries of the other data centres, which forward it.
     */
    private List<Address> addressesOf(String vm) {
        for (Endpoint endpoint : mDirectory.all()) {
            if (endpoint.vm().equals(vm)) {
                return List.of(new Address(endpoint.announcement().getDataAddress(), false));
            }
        }
        List<Address> addresses = new ArrayList<>();
        mSettings.entries().stream()
                .map(PeerVm::dataCentre)
                .distinct()
                .filter(dataCentre -> !dataCentre.equals(mSettings.dataCentre()))
                .forEach(dataCentre -> addresses.addAll(entriesOf(dataCentre)));
        return addresses;
    }

    private static List<HostPort> otherEntries(DaemonSettings settings) {
        return settings.entries().stream()
                .filter(entry -> !entry.vm().equals(settings.vm()))
                .map(PeerVm::control)
                .toList();
    }

    private List<Address> entriesOf(String dataCentre) {
        return mSettings.entries().stream()
                .filter(entry -> entry.dataCentre().equals(dataCentre))
                .limit(MAX_ENTRIES_PER_DATA_CENTRE)
                .map(entry -> new Address(entry.data().toString(), true))
                .toList();
    }

    private static boolean isForwarded(Request request) {
        return request.getHeaders().contains(RequestHeaders.HOP);
    }
}
