package org.sequoiahill.daemon.process;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.endpoints.EndpointRegistry;
import org.sequoiahill.daemon.process.fleet.EndpointReportReceiver;
import org.sequoiahill.daemon.process.fleet.FleetHandler;
import org.sequoiahill.daemon.process.fleet.FleetLog;
import org.sequoiahill.daemon.process.fleet.FleetLogHandler;
import org.sequoiahill.daemon.process.fleet.FleetStateMachine;
import org.sequoiahill.daemon.process.fleet.FleetStore;
import org.sequoiahill.daemon.process.fleet.PublicationTimes;
import org.sequoiahill.daemon.process.log.GroupLog;
import org.sequoiahill.daemon.process.log.LogTiming;
import org.sequoiahill.daemon.process.log.Member;
import org.sequoiahill.daemon.process.log.StoreGroup;
import org.sequoiahill.daemon.process.log.StoreId;
import org.sequoiahill.daemon.process.log.StoreRuntime;
import org.sequoiahill.daemon.process.log.VoterPolicy;
import org.sequoiahill.daemon.process.settings.FleetSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PauseDetector;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.protocol.gen.Fleet;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.Participant;

/**
 * The role of a store, which keeps the fleet's state and receives reports of endpoints, in a daemon
 * that discovers the others through seeds.
 */
@Singleton
final class FleetStoreRole implements FleetDaemonRole {
    private static final String OPERATORS = "operators";
    private static final String GROUP = "fleet";

    /** Timing of the log; a failed leader is replaced within about one second. */
    private static final LogTiming TIMING =
            new LogTiming(Duration.ofMillis(150), Duration.ofMillis(700), Duration.ofMillis(1_300));

    private static final int SNAPSHOT_ENTRIES = 64;

    /** Silence after which a voter may be replaced by another store. */
    private static final Duration VOTER_SILENCE_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * Timeouts of calls between stores, to connect and to read; both are shorter than the shortest
     * election timeout, so that a dead connection is replaced before an election.
     */
    private static final ControlClient.Timeouts STORE_TIMEOUTS =
            new ControlClient.Timeouts(Duration.ofMillis(300), Duration.ofMillis(600));

    /** Heartbeats that an endpoint may miss before it is dropped. */
    private static final int MISSED_HEARTBEATS = 5;

    private static final Duration PARTICIPANT_LEASE = Duration.ofSeconds(4);
    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(500);
    private static final Duration LEADERSHIP_TRANSFER_TIMEOUT = Duration.ofMillis(800);
    private static final long LEADERSHIP_CHECK_MILLIS = 20;

    /** Longest wait for running requests; operators switch to another store after that time. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(1);

    private final FleetSettings mSettings;
    private final Identity mIdentity;
    private final ScheduledExecutorService mScheduler;
    private final EndpointRegistry mRegistry;
    private final PublicationTimes mPublicationTimes;
    private final FleetLog mLog;
    private final FleetStore mStore;
    private final PauseDetector mPauses;
    private final DrainHandler mDrain;
    private final MonotonicClock mClock;

    @Inject
    FleetStoreRole(
            FleetSettings settings,
            FleetAdapter adapter,
            Identity identity,
            ControlClient client,
            ControlTraffic traffic,
            MonotonicClock clock,
            InstantSource time,
            RandomGenerator random,
            ScheduledExecutorService scheduler) {
        mSettings = settings;
        mIdentity = identity;
        mScheduler = scheduler;
        mClock = clock;
        mRegistry =
                EndpointRegistry.of(
                        clock,
                        time,
                        settings.limits().heartbeatInterval().multipliedBy(MISSED_HEARTBEATS),
                        PARTICIPANT_LEASE,
                        random.nextLong(1, Long.MAX_VALUE));
        mPublicationTimes = PublicationTimes.of(clock);
        FleetStateMachine machine =
                FleetStateMachine.of(
                        state -> {
                            mPublicationTimes.record(state, Duration.ZERO);
                            mRegistry.wakeWaitingReaders();
                        });
        StoreRuntime runtime = new StoreRuntime(clock, time, random, traffic, STORE_TIMEOUTS);
        Path dataFolder = settings.dataFolder().orElseThrow();
        try {
            mLog =
                    FleetLog.open(
                            () -> {
                                machine.startReplay();
                                return StoreGroup.open(
                                        options(settings),
                                        ServiceStub.LOG_CONFIG,
                                        machine,
                                        settings.vm(),
                                        dataFolder,
                                        identity,
                                        runtime);
                            });
        } catch (IOException e) {
            throw new UncheckedIOException("the log in " + dataFolder + " can't be opened", e);
        }
        mPauses = PauseDetector.of(clock, time);
        mStore = FleetStore.of(identity, mLog, machine, client, mPauses);
        EndpointReportReceiver reports =
                EndpointReportReceiver.of(identity, settings.control(), mRegistry, mStore, client);
        mDrain =
                new DrainHandler(
                        adapter.storeHandler(mStore, reports, settings.regions().keySet()));
    }

    @Override
    public List<HttpServers.Listener> listeners() {
        return List.of(
                new HttpServers.Listener(OPERATORS, mSettings.operatorAddress().orElseThrow()));
    }

    @Override
    public Handler handler() {
        return mDrain;
    }

    @Override
    public void register(ControlServer server) {
        server.register(ServiceStub.LOG_CONFIG, new Log.Processor<>(FleetLogHandler.of(mLog)));
        server.register(
                ServiceStub.FLEET,
                new Fleet.Processor<>(
                        FleetHandler.of(mIdentity, mStore, mRegistry, mPublicationTimes)));
    }

    @Override
    public Participant participant() {
        return ParticipantFactory.of(mSettings, mIdentity);
    }

    @Override
    public void start() {
        mLog.start(mScheduler);
        mPauses.start(mScheduler);
        PeriodicTasks.schedule(mScheduler, EXPIRY_INTERVAL, "expiry", mRegistry::expire);
    }

    @Override
    public void leave() {
        mDrain.closeConnections();
        GroupLog log = mLog.log();
        if (!log.isLeader()) {
            return;
        }
        log.members().voters().stream()
                .filter(voter -> !voter.id().vm().equals(mSettings.vm()))
                .findFirst()
                .ifPresent(voter -> log.transferLeadershipTo(voter.id().vm()));
    }

    @Override
    public void finishLeaving() throws InterruptedException {
        Duration deadline = mClock.now().plus(LEADERSHIP_TRANSFER_TIMEOUT);
        while (mLog.log().isLeader() && mClock.now().compareTo(deadline) < 0) {
            TimeUnit.MILLISECONDS.sleep(LEADERSHIP_CHECK_MILLIS);
        }
        mDrain.drain(DRAIN_TIMEOUT);
    }

    private static GroupLog.Options options(FleetSettings settings) {
        List<Member> seeds =
                settings.seeds().stream()
                        .map(seed -> new Member(new StoreId(seed.host(), 0), seed.toString(), true))
                        .toList();
        int targetVoters = 2 * Math.max(1, settings.limits().toleratedStoreFailures()) + 1;
        return new GroupLog.Options(
                GROUP,
                settings.control().toString(),
                seeds,
                TIMING,
                SNAPSHOT_ENTRIES,
                settings.mayBootstrap(),
                new VoterPolicy(targetVoters, VOTER_SILENCE_TIMEOUT));
    }
}
