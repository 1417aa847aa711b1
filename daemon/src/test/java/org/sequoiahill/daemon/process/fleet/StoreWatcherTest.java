package org.sequoiahill.daemon.process.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.ChangeReply;
import org.sequoiahill.protocol.gen.ChangeRequest;
import org.sequoiahill.protocol.gen.ContentReply;
import org.sequoiahill.protocol.gen.ContentRequest;
import org.sequoiahill.protocol.gen.Fleet;
import org.sequoiahill.protocol.gen.FleetContent;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.sequoiahill.protocol.gen.RelayReply;
import org.sequoiahill.protocol.gen.ReportRelay;
import org.sequoiahill.protocol.gen.WatchReply;
import org.sequoiahill.protocol.gen.WatchRequest;
import org.sequoiahill.protocol.json.ParseResult;

/** Tests of {@link StoreWatcher} against stores on loopback. */
final class StoreWatcherTest {
    private static final String HOST = "127.0.0.1";
    private static final long INDEX = 7;
    private static final long TABLE = 9;

    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private final CountDownLatch mIsTestOver = new CountDownLatch(1);
    private final FleetView mView =
            FleetView.of(
                    MonotonicClock.system(),
                    StoreWatcherTest::parse,
                    (delay, task) -> CompletableFuture.runAsync(task));
    private final AtomicInteger mUnusableReplies = new AtomicInteger();
    private HostPort mFarStore;
    private ControlServer mServer;
    private ControlClient mClient;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            mFarStore = new HostPort(HOST, socket.getLocalPort());
        }
        mServer =
                ControlServer.bind(
                        mFarStore, mExecutor, ControlTraffic.on(new SimpleMeterRegistry()));
        mServer.register(ServiceStub.FLEET, new Fleet.Processor<>(new FarStore()));
        mServer.start();
        // The long poll outlasts the test, so only another call can return the table.
        mClient =
                ControlClient.on(
                        mExecutor,
                        ControlTraffic.on(new SimpleMeterRegistry()),
                        new ControlClient.Timeouts(Duration.ofSeconds(5), Duration.ofMinutes(1)));
    }

    @AfterEach
    void stop() {
        mIsTestOver.countDown();
        mClient.close();
        mServer.close();
        mScheduler.shutdownNow();
        mExecutor.shutdownNow();
    }

    @Test
    void start_nearestStoreSendsNoTable_requestsItFromAnotherStoreDuringItsLongPoll()
            throws Exception {
        CompletableFuture<Long> table = new CompletableFuture<>();
        mView.addListener(
                snapshot -> snapshot.table().ifPresent(each -> table.complete(each.number())));
        StoreWatcher.of(
                        mView,
                        mClient,
                        MonotonicClock.system(),
                        mScheduler,
                        () -> participant(),
                        () -> List.of(mFarStore),
                        "dc-1")
                .start();
        assertThat(table.get(10, TimeUnit.SECONDS), is(TABLE));
    }

    @Test
    void start_replyCannotBeApplied_pollsTheStoreAgain() throws Exception {
        mUnusableReplies.set(1);
        CompletableFuture<Long> table = new CompletableFuture<>();
        mView.addListener(
                snapshot -> snapshot.table().ifPresent(each -> table.complete(each.number())));
        StoreWatcher.of(
                        mView,
                        mClient,
                        MonotonicClock.system(),
                        mScheduler,
                        () -> participant(),
                        () -> List.of(mFarStore),
                        "dc-2")
                .start();
        assertThat(table.get(10, TimeUnit.SECONDS), is(TABLE));
        assertThat(mUnusableReplies.get(), lessThan(0));
    }

    private static Participant participant() {
        return new Participant(
                "vm",
                "vm",
                ParticipantRole.ENTRY,
                "dc-1",
                HOST + ":1",
                1,
                1,
                "",
                "",
                false,
                Map.of());
    }

    private static ParseResult<RoutingTable> parse(byte[] text) {
        long number = Long.parseLong(new String(text, StandardCharsets.UTF_8));
        return ParseResult.of(RoutingTable.of(number, List.of(), Map.of(), Map.of(), 0));
    }

    /** A store of another data centre, whose long polls see no changes. */
    private final class FarStore implements Fleet.Iface {
        @Override
        public WatchReply watch(WatchRequest request) {
            if (request.getWaitMillis() > 0) {
                await();
            }
            if (mUnusableReplies.getAndDecrement() > 0) {
                return new WatchReply()
                        .setItems(new ArrayList<>())
                        .setStores(List.of("nowhere"))
                        .setDataCentre("dc-2")
                        .setCurrent(true);
            }
            FleetContent content = new FleetContent(INDEX, TABLE, Map.of(), Map.of(), Map.of());
            if (request.isWantsRouting()) {
                byte[] text = Long.toString(TABLE).getBytes(StandardCharsets.UTF_8);
                content.setRouting(DeflatedText.deflate(text));
            }
            return new WatchReply()
                    .setFeed(1)
                    .setChange(1)
                    .setItems(new ArrayList<>())
                    .setStores(List.of())
                    .setDataCentre("dc-2")
                    .setCurrent(true)
                    .setContent(content);
        }

        private void await() {
            try {
                mIsTestOver.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public ChangeReply change(ChangeRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ContentReply content(ContentRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RelayReply relay(ReportRelay relay) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RelayReply announce(Participant participant) {
            throw new UnsupportedOperationException();
        }
    }
}
