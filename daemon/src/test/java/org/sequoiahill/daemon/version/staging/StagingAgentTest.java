package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.fleet.EngineProfile;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.FleetState;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.daemon.process.fleet.RoutingTable;
import org.sequoiahill.daemon.process.fleet.VersionHistory;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.sequoiahill.protocol.weights.Digests;

/** Runs an agent with an engine that loads whatever is staged, and checks what it loaded. */
final class StagingAgentTest {
    private static final int PIECES = 6;
    private static final HostPort ORIGIN = new HostPort("127.0.0.1", 1);

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final ExecutorService mRunner = Executors.newSingleThreadExecutor();
    private final FakeEngine mEngine = new FakeEngine();
    private final FakeOrigin mOrigin = new FakeOrigin();
    private final BlockingQueue<Participant> mPublished = new LinkedBlockingQueue<>();

    /** Time that the monotonic clock of the agent has gained over that of the test. */
    private volatile Duration mSkipped = Duration.ZERO;

    private volatile Instant mWallTime = Instant.EPOCH;

    @AfterEach
    void stop() {
        mRunner.shutdownNow();
        mThreads.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void run_engineBehindThePublishedVersion_loadsAllPieces(long loaded)
            throws InterruptedException {
        mEngine.mVersions.put("model", loaded);
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
    }

    @Test
    void run_originSendsCorruptPieces_loadsIntactOnes() throws InterruptedException {
        mOrigin.mSendsCorruptFirst = true;
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
    }

    /** Guards against a corrupt manifest that keeps a version from being loaded, or spoils it. */
    @ParameterizedTest
    @CsvSource({
        "WRONG_DIGEST, 1",
        "WRONG_DIGEST, 2",
        "WRONG_DIGEST, 5",
        "SWAPPED_DIGESTS, 1",
        "SWAPPED_DIGESTS, 2",
        "ALL_WRONG, 2",
        "NOT_A_DIGEST, 2",
        "MISSING_LAST, 1",
        "MISSING_LAST, 2",
        "ONE_TOO_MANY, 2",
        "DIFFERENT_EACH_TIME, 5"
    })
    void run_originSendsCorruptManifests_loadsIntactPieces(
            ManifestCorruption corruption, int copies) throws InterruptedException {
        mOrigin.mCorruption = corruption;
        mOrigin.mCorruptManifests = copies;
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
    }

    @Test
    void run_stagedPieceBecomesCorrupt_isReplacedBeforeTheLoad() throws InterruptedException {
        mEngine.mCorruptsFirstPiece = true;
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
    }

    @Test
    void run_engineRestartsEmpty_loadsAgain() throws InterruptedException {
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
        mEngine.restart();
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
    }

    @Test
    void run_engineStartsInAServingFleet_piecesArePrefetched() throws InterruptedException {
        mEngine.mIsDown = true;
        start(2, List.of(servingAgent()));
        assertThat(mOrigin.mAllRequested.await(20, TimeUnit.SECONDS), is(true));
        mEngine.mIsDown = false;
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
    }

    @Test
    void run_allEnginesStart_usesTheStagedPieces() throws InterruptedException {
        for (int piece = 0; piece < PIECES; piece++) {
            mEngine.mStaged.put(piece, content(2, piece));
        }
        mEngine.mIsDown = true;
        start(2, List.of());
        assertThat(mEngine.mStatusCalls.await(20, TimeUnit.SECONDS), is(true));
        mEngine.mIsDown = false;
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
        assertThat(mOrigin.requested().isEmpty(), is(true));
    }

    @Test
    void run_engineCrashedWithStagedPieces_fetchesOnlyTheOthers() throws InterruptedException {
        for (int piece = 0; piece < PIECES; piece++) {
            mEngine.mStaged.put(piece, content(2, piece));
        }
        mEngine.mStaged.put(3, content(1, 3));
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
        assertThat(mOrigin.requested(), contains(3));
    }

    @Test
    void run_agentRestartsWhileItsEngineServes_keepsTheStagedPieces() throws InterruptedException {
        mEngine.mVersions.put("model", 1L);
        for (int piece = 0; piece < PIECES; piece++) {
            mEngine.mStaged.put(piece, content(piece < 3 ? 2 : 1, piece));
        }
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
        assertThat(mOrigin.requested(), contains(3, 4, 5));
    }

    @Test
    void run_engineServes_fetchesPiecesInTheOrderOfThePlan() throws InterruptedException {
        mEngine.mVersions.put("model", 1L);
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
        assertThat(mOrigin.requested(), contains(0, 1, 2, 3, 4, 5));
    }

    /** Guards against a load of pieces that became corrupt while the agent was paused. */
    @ParameterizedTest
    @EnumSource(Pause.class)
    void run_pausedBetweenVerificationAndOrder_verifiesAgain(Pause pause)
            throws InterruptedException {
        mEngine.mAfterLastRead = () -> pauseAndCorrupt(pause);
        start(2);
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
        assertThat(awaitInUse(), is(true));
    }

    /** Guards against the use of an engine that took pieces long after their verification. */
    @ParameterizedTest
    @CsvSource({
        "FREEZE, false, CORRUPT",
        "FREEZE, true, CORRUPT",
        "SUSPENSION, false, CORRUPT",
        "SUSPENSION, true, CORRUPT",
        "FREEZE, false, INTACT",
        "FREEZE, true, INTACT",
        "SUSPENSION, false, INTACT",
        "SUSPENSION, true, INTACT"
    })
    void run_orderIsAcceptedLate_engineIsUsedOnlyIfPiecesAreIntact(
            Pause pause, boolean isResponseLost, Pieces pieces) throws InterruptedException {
        mEngine.mLosesResponse = isResponseLost;
        mEngine.mBeforeLoad =
                () -> {
                    if (pieces == Pieces.CORRUPT) {
                        pauseAndCorrupt(pause);
                    } else {
                        pause(pause);
                    }
                };
        start(2);
        mEngine.mLoads.poll(20, TimeUnit.SECONDS);
        assertThat(awaitInUse(), is(pieces == Pieces.INTACT));
    }

    @Test
    void run_engineWithCorruptVersionRestarts_isUsedAgain() throws InterruptedException {
        mEngine.mBeforeLoad = () -> pauseAndCorrupt(Pause.FREEZE);
        start(2);
        mEngine.mLoads.poll(20, TimeUnit.SECONDS);
        assertThat(awaitInUse(), is(false));
        mEngine.restart();
        assertThat(mEngine.mLoads.poll(20, TimeUnit.SECONDS), is(textOf(2)));
        assertThat(awaitInUse(), is(true));
    }

    /** How the agent's VM stands still. */
    private enum Pause {
        /** The monotonic clock counts the time. */
        FREEZE,
        /** Only the wall clock counts the time. */
        SUSPENSION
    }

    /** State of the staged pieces when the engine takes them. */
    private enum Pieces {
        CORRUPT,
        INTACT
    }

    private void pause(Pause pause) {
        Duration length = Duration.ofSeconds(4);
        mWallTime = mWallTime.plus(length);
        if (pause == Pause.FREEZE) {
            mSkipped = mSkipped.plus(length);
        }
    }

    private void pauseAndCorrupt(Pause pause) {
        pause(pause);
        mEngine.mStaged.put(0, new byte[] {9});
    }

    /**
     * Returns whether entries may use version 2 of the engine; an engine that isn't published for
     * several steps of the agent after the load counts as out of use.
     */
    private boolean awaitInUse() throws InterruptedException {
        int statusCalls = mEngine.statusCalls();
        while (mEngine.statusCalls() < statusCalls + 5) {
            Participant published = mPublished.poll(100, TimeUnit.MILLISECONDS);
            if (published != null
                    && !published.isSwapping()
                    && published.getVersions().equals(Map.of("model", 2L))) {
                return true;
            }
        }
        return false;
    }

    private static Participant servingAgent() {
        return new Participant(
                "agent-2",
                "agent-2",
                ParticipantRole.AGENT,
                "dc-2",
                "127.0.0.1:4",
                1,
                0,
                "127.0.0.1:5",
                "writer",
                false,
                Map.of("model", 2L));
    }

    private void start(long version) {
        start(version, List.of());
    }

    private void start(long version, List<Participant> others) {
        Identity identity = Identity.of("agent-1", "dc", 1);
        PieceStore store = new PieceStore();
        ControlClient client =
                ControlClient.on(mThreads, ControlTraffic.on(new SimpleMeterRegistry()));
        Participant self =
                new Participant(
                        "agent-1",
                        "agent-1",
                        ParticipantRole.AGENT,
                        "dc",
                        "127.0.0.1:2",
                        1,
                        0,
                        "127.0.0.1:3",
                        "writer",
                        false,
                        Map.of());
        FleetSnapshot snapshot = snapshot(version, others);
        AgentState state = AgentState.of(self);
        MonotonicClock clock = MonotonicClock.system();
        StagingAgent agent =
                StagingAgent.of(
                        new StagingAgent.Dependencies(
                                () -> snapshot,
                                mEngine,
                                store,
                                PieceFetcher.of(
                                        identity, "dc", mOrigin, store, mEngine, client, mThreads),
                                state,
                                () -> mPublished.add(state.participant()),
                                Map.of("dc", "dc"),
                                () -> clock.now().plus(mSkipped),
                                () -> mWallTime),
                        "writer",
                        Duration.ofSeconds(6));
        mRunner.execute(agent);
    }

    private static FleetSnapshot snapshot(long version, List<Participant> others) {
        EngineProfile engine =
                new EngineProfile(
                        "model",
                        4,
                        1_000,
                        Duration.ZERO,
                        Duration.ZERO,
                        1,
                        1,
                        PIECES,
                        1,
                        Duration.ZERO);
        Map<String, RoutedService> services = new HashMap<>();
        services.put(
                "writer",
                new RoutedService(
                        "writer", 1, Duration.ZERO, 0, Optional.empty(), Optional.of(engine)));
        services.put(
                "weights",
                new RoutedService(
                        "weights", 1, Duration.ZERO, 0, Optional.of(ORIGIN), Optional.empty()));
        return FleetSnapshot.of(
                new FleetState(
                        1,
                        1,
                        ByteBuffer.allocate(0),
                        Map.of(),
                        Map.of(),
                        Map.of("model", version),
                        Map.of()),
                Optional.of(RoutingTable.of(1, List.of(), services, Map.of(), 1)),
                Map.of(),
                others,
                Map.of("model", VersionHistory.NONE.with(version, Duration.ZERO)),
                1);
    }

    private static byte[] content(long version, int piece) {
        return ("v" + version + "p" + piece + ";").getBytes(StandardCharsets.UTF_8);
    }

    private static String textOf(long version) {
        StringBuilder text = new StringBuilder();
        for (int piece = 0; piece < PIECES; piece++) {
            text.append(new String(content(version, piece), StandardCharsets.UTF_8));
        }
        return text.toString();
    }

    /** An origin that optionally sends each piece corrupt the first time. */
    private static final class FakeOrigin implements WeightsOrigin {
        private final Map<Integer, Integer> mRequests = new LinkedHashMap<>();
        private final CountDownLatch mAllRequested = new CountDownLatch(1);
        private boolean mSendsCorruptFirst;
        private ManifestCorruption mCorruption = ManifestCorruption.WRONG_DIGEST;
        private int mCorruptManifests;
        private int mManifests;

        @Override
        public synchronized PieceManifest manifest(HostPort origin, String model, long version) {
            List<String> digests = new ArrayList<>();
            for (int piece = 0; piece < PIECES; piece++) {
                digests.add(
                        Digests.of(new String(content(version, piece), StandardCharsets.UTF_8)));
            }
            int copy = mManifests++;
            return new PieceManifest(
                    model,
                    version,
                    copy < mCorruptManifests ? mCorruption.apply(digests, copy) : digests);
        }

        /** Returns the pieces in the order in which they were first requested. */
        synchronized List<Integer> requested() {
            return List.copyOf(mRequests.keySet());
        }

        @Override
        public synchronized byte[] piece(HostPort origin, String model, long version, int piece) {
            boolean isFirst = mRequests.merge(piece, 1, Integer::sum) == 1;
            if (mRequests.size() == PIECES) {
                mAllRequested.countDown();
            }
            return mSendsCorruptFirst && isFirst ? new byte[] {1, 2, 3} : content(version, piece);
        }
    }

    /** An engine that does not verify staged pieces. */
    private static final class FakeEngine implements StagingEngine {
        private final Map<String, Long> mVersions = new HashMap<>();
        private final Map<Integer, byte[]> mStaged = new HashMap<>();
        private final BlockingQueue<String> mLoads = new LinkedBlockingQueue<>();
        private final CountDownLatch mStatusCalls = new CountDownLatch(3);
        private boolean mCorruptsFirstPiece;
        private volatile boolean mIsDown;
        private Runnable mAfterLastRead = () -> {};
        private Runnable mBeforeLoad = () -> {};
        private boolean mLosesResponse;
        private int mAllStatusCalls;

        @Override
        public synchronized Status status() throws IOException {
            mStatusCalls.countDown();
            mAllStatusCalls++;
            checkUp();
            return new Status(mVersions, false, 0, 0);
        }

        @Override
        public synchronized void stage(String model, int piece, byte[] content) throws IOException {
            checkUp();
            mStaged.put(piece, mCorruptsFirstPiece ? new byte[] {9} : content);
            mCorruptsFirstPiece = false;
        }

        @Override
        public synchronized Optional<byte[]> stagedPiece(String model, int piece)
                throws IOException {
            checkUp();
            Optional<byte[]> staged = Optional.ofNullable(mStaged.get(piece));
            if (piece == PIECES - 1 && mStaged.size() == PIECES) {
                mAfterLastRead.run();
                mAfterLastRead = () -> {};
            }
            return staged;
        }

        synchronized int statusCalls() {
            return mAllStatusCalls;
        }

        @Override
        public synchronized boolean load(String model, long version) throws IOException {
            mBeforeLoad.run();
            mBeforeLoad = () -> {};
            StringBuilder loaded = new StringBuilder();
            for (int piece = 0; piece < PIECES; piece++) {
                byte[] content = mStaged.getOrDefault(piece, new byte[0]);
                loaded.append(new String(content, StandardCharsets.UTF_8));
            }
            mVersions.put(model, version);
            mLoads.add(loaded.toString());
            if (mLosesResponse) {
                throw new IOException("the response was lost");
            }
            return true;
        }

        private void checkUp() throws IOException {
            if (mIsDown) {
                throw new IOException("the engine is down");
            }
        }

        synchronized void restart() {
            mVersions.clear();
            mStaged.clear();
        }
    }
}
