package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.DaemonSettings.ReplicationSettings;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Log;

/** A replicated group on a store VM, with its own log, files, threads and connections. */
public final class StoreGroup {
    /** Folder below the data folder that holds a folder for each group. */
    private static final String LOG_FOLDER = "log";

    private static final int MAX_THREADS = 16;
    private static final long IDLE_SECONDS = 60;

    private final GroupLog mLog;
    private final ServiceStub<Log.Client> mStub;
    private final GroupHandler mHandler;

    private StoreGroup(GroupLog log, ServiceStub<Log.Client> stub, GroupHandler handler) {
        mLog = log;
        mStub = stub;
        mHandler = handler;
    }

    /**
     * Opens a group of the stores in the settings, in its own folder below the data folder.
     *
     * @param group name of the group and its folder
     * @param stub service through which the stores of the group communicate
     * @param stateMachine state machine to which the log is applied
     * @throws UncheckedIOException if the folder can't be read, belongs to another VM or group, or
     *     is damaged
     */
    public static StoreGroup open(
            String group,
            ServiceStub<Log.Client> stub,
            StateMachine stateMachine,
            DaemonSettings settings,
            Identity identity,
            MonotonicClock clock,
            RandomGenerator random,
            InstantSource wallClock,
            ControlTraffic traffic) {
        ControlClient client = ControlClient.on(threadPool("log-" + group + "-call"), traffic);
        ThriftTransport transport =
                ThriftTransport.over(identity, stub, client, addressesOf(settings));
        GroupLog log =
                GroupLog.of(
                        optionsOf(group, settings),
                        stateMachine,
                        openStorage(group, settings, wallClock),
                        transport,
                        clock,
                        random,
                        threadPool("log-" + group + "-answer"));
        return new StoreGroup(log, stub, GroupHandler.of(identity, log, transport, stub, client));
    }

    /**
     * Opens a group whose stores find each other through seeds.
     *
     * @param options configuration of the group
     * @param vm name of this VM in the group
     * @param dataFolder folder of the daemon's files
     * @param runtime clocks, randomness and connections
     * @throws IOException if the folder can't be read, belongs to another VM or group, or is
     *     damaged
     */
    public static StoreGroup open(
            GroupLog.Options options,
            ServiceStub<Log.Client> stub,
            StateMachine stateMachine,
            String vm,
            Path dataFolder,
            Identity identity,
            StoreRuntime runtime)
            throws IOException {
        String group = options.group();
        ControlClient client =
                ControlClient.on(
                        threadPool("log-" + group + "-call"),
                        runtime.traffic(),
                        runtime.timeouts());
        ThriftTransport transport = ThriftTransport.over(identity, stub, client, Map.of());
        LogStorage storage =
                LogStorage.open(
                        DiskFolder.open(dataFolder, LOG_FOLDER, group),
                        vm,
                        group,
                        Math.max(1, runtime.wallClock().millis()));
        try {
            GroupLog log =
                    GroupLog.of(
                            options,
                            stateMachine,
                            storage,
                            transport,
                            runtime.clock(),
                            runtime.random(),
                            threadPool("log-" + group + "-answer"));
            return new StoreGroup(
                    log, stub, GroupHandler.of(identity, log, transport, stub, client));
        } catch (RuntimeException e) {
            storage.close();
            throw e;
        }
    }

    /** Returns the log. */
    public GroupLog log() {
        return mLog;
    }

    /** Registers the group's service, through which other stores reach it. */
    public void register(ControlServer server) {
        server.register(mStub, new Log.Processor<>(mHandler));
    }

    /** Returns the service that handles the calls of the group's other stores. */
    public Log.Iface service() {
        return mHandler;
    }

    private static Map<String, HostPort> addressesOf(DaemonSettings settings) {
        return settings.stores().stream().collect(Collectors.toMap(PeerVm::vm, PeerVm::control));
    }

    private static LogStorage openStorage(
            String group, DaemonSettings settings, InstantSource wallClock) {
        try {
            return LogStorage.open(
                    DiskFolder.open(settings.dataFolder(), LOG_FOLDER, group),
                    settings.vm(),
                    group,
                    Math.max(1, wallClock.millis()));
        } catch (IOException e) {
            throw new UncheckedIOException("the log of group " + group + " can't be opened", e);
        }
    }

    private static GroupLog.Options optionsOf(String group, DaemonSettings settings) {
        ReplicationSettings replication = settings.replication();
        List<Member> seeds =
                settings.stores().stream()
                        .map(
                                store ->
                                        new Member(
                                                new StoreId(store.vm(), 0),
                                                store.control().toString(),
                                                true))
                        .toList();
        return GroupLog.Options.of(
                group,
                settings.control().toString(),
                seeds,
                new LogTiming(
                        replication.heartbeat(),
                        replication.electionMin(),
                        replication.electionMax()),
                replication.snapshotEntries());
    }

    private static ExecutorService threadPool(String name) {
        return new ThreadPoolExecutor(
                0,
                MAX_THREADS,
                IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.CallerRunsPolicy());
    }
}
