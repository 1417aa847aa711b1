package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.FleetState;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.daemon.process.fleet.RoutingTable;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.ManifestReply;
import org.sequoiahill.protocol.gen.ManifestRequest;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;
import org.sequoiahill.protocol.gen.Pieces;
import org.sequoiahill.protocol.weights.Digests;

/** Tests of {@link PieceRelay} with an agent or another entry on loopback. */
final class PieceRelayTest {
    private static final String HOST = "127.0.0.1";
    private static final HostPort UNUSED = new HostPort(HOST, 1);
    private static final byte[] CONTENT = "piece".getBytes(StandardCharsets.UTF_8);
    private static final byte[] CORRUPT = "corrupt".getBytes(StandardCharsets.UTF_8);

    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final CountingOrigin mOrigin = new CountingOrigin();
    private HostPort mAgent;
    private ControlServer mServer;
    private ControlClient mClient;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            mAgent = new HostPort(HOST, socket.getLocalPort());
        }
        mServer =
                ControlServer.bind(mAgent, mExecutor, ControlTraffic.on(new SimpleMeterRegistry()));
        mClient = ControlClient.on(mExecutor, ControlTraffic.on(new SimpleMeterRegistry()));
    }

    @AfterEach
    void stop() {
        mClient.close();
        mServer.close();
        mExecutor.shutdownNow();
    }

    @ParameterizedTest
    @CsvSource({
        // data centre of the agent, version that its engine serves, staged piece, requests to the
        // origin
        "dc-1, 1, intact, 0",
        "dc-1, 1, corrupt, 1",
        "dc-1, 1, nothing, 1",
        "dc-1, 2, intact, 1",
        "dc-2, 1, intact, 1"
    })
    void piece_agentServesTheVersion_isAskedBeforeTheOrigin(
            String dataCentre, long served, String staged, int originRequests) {
        Participant agent = agent(dataCentre, served);
        AgentState state = AgentState.of(agent);
        mServer.register(
                ServiceStub.PIECES,
                new Pieces.Processor<>(
                        StagedPieceService.of(
                                Identity.of("agent", dataCentre, 1),
                                state,
                                new PieceStore(),
                                new FakeEngine(staged))));
        mServer.start();
        Identity identity = Identity.of("entry", "dc-1", 1);
        PieceRelay relay =
                PieceRelay.of(
                        identity,
                        () -> snapshot(agent),
                        Map.of(),
                        mOrigin,
                        new PieceStore(),
                        mClient,
                        MonotonicClock.system());
        PieceReply reply = relay.piece(new PieceRequest(identity.sender(), "model", 1, 0));
        assertThat(new String(reply.getContent(), StandardCharsets.UTF_8), is("piece"));
        assertThat(mOrigin.mPieces.get(), is(originRequests));
    }

    @ParameterizedTest
    @CsvSource({
        // what the fetching entry has, calls to it, manifests and pieces requested from the origin
        "all, 3, 0, 0",
        "corrupt, 2, 0, 2",
        "nothing, 1, 1, 2"
    })
    void piece_anotherEntryFetches_originIsAskedOnlyIfThatEntryFails(
            String has, int calls, int manifests, int pieces) {
        AtomicInteger received = new AtomicInteger();
        mServer.register(
                ServiceStub.PIECES,
                new Pieces.Processor<>(new FakeFetchingEntry(has, received, 0)));
        mServer.start();
        Identity identity = Identity.of("entry-2", "dc-1", 1);
        FleetSnapshot snapshot = snapshot(entry("entry-1", mAgent), entry("entry-2", UNUSED));
        PieceRelay relay =
                PieceRelay.of(
                        identity,
                        () -> snapshot,
                        Map.of(),
                        mOrigin,
                        new PieceStore(),
                        mClient,
                        MonotonicClock.system());
        for (int piece = 0; piece < 2; piece++) {
            PieceReply reply = relay.piece(new PieceRequest(identity.sender(), "model", 1, piece));
            assertThat(new String(reply.getContent(), StandardCharsets.UTF_8), is("piece"));
        }
        assertThat(mOrigin.mManifests.get(), is(manifests));
        assertThat(mOrigin.mPieces.get(), is(pieces));
        assertThat("calls to the fetching entry", received.get(), is(calls));
    }

    /** Guards against a corrupt manifest that an entry keeps, so that it refuses sound pieces. */
    @ParameterizedTest
    @CsvSource({
        // corrupt manifests that the fetching entry sends, the origin sends; at most so many
        // requests until the piece is served
        "0, 0, 1",
        "1, 0, 1",
        "1, 1, 2",
        "2, 2, 3",
        "1000, 0, 1",
        "1000, 2, 3"
    })
    void piece_manifestIsCorrupt_isComparedWithOtherCopies(
            int fromEntry, int fromOrigin, int maxRequests) {
        mServer.register(
                ServiceStub.PIECES,
                new Pieces.Processor<>(
                        new FakeFetchingEntry("all", new AtomicInteger(), fromEntry)));
        mServer.start();
        mOrigin.mCorruptManifests = fromOrigin;
        Identity identity = Identity.of("entry-2", "dc-1", 1);
        FleetSnapshot snapshot = snapshot(entry("entry-1", mAgent), entry("entry-2", UNUSED));
        PieceRelay relay =
                PieceRelay.of(
                        identity,
                        () -> snapshot,
                        Map.of(),
                        mOrigin,
                        new PieceStore(),
                        mClient,
                        MonotonicClock.system());
        int requests = 0;
        boolean isServed = false;
        while (!isServed && requests < maxRequests) {
            requests++;
            isServed =
                    relay.piece(new PieceRequest(identity.sender(), "model", 1, 0)).isSetContent();
        }
        assertThat(isServed, is(true));
        assertThat(
                "the manifest is repaired for others",
                relay.manifest(new ManifestRequest(identity.sender(), "model", 1)).getDigests(),
                is(digests()));
        int piecesBefore = mOrigin.mPieces.get();
        relay.piece(new PieceRequest(identity.sender(), "model", 1, 2));
        assertThat("the entry is asked again", mOrigin.mPieces.get(), is(piecesBefore));
    }

    private static Participant entry(String name, HostPort control) {
        return new Participant(
                name,
                name,
                ParticipantRole.ENTRY,
                "dc-1",
                control.toString(),
                1,
                1,
                "",
                "",
                false,
                Map.of());
    }

    private Participant agent(String dataCentre, long served) {
        return new Participant(
                "agent",
                "agent",
                ParticipantRole.AGENT,
                dataCentre,
                mAgent.toString(),
                1,
                1,
                HOST + ":1",
                "writer",
                false,
                Map.of("model", served));
    }

    private static FleetSnapshot snapshot(Participant... participants) {
        RoutedService origin =
                new RoutedService(
                        "weights",
                        1,
                        Duration.ZERO,
                        0,
                        Optional.of(new HostPort(HOST, 1)),
                        Optional.empty());
        return FleetSnapshot.of(
                new FleetState(
                        1, 1, ByteBuffer.allocate(0), Map.of(), Map.of(), Map.of(), Map.of()),
                Optional.of(RoutingTable.of(1, List.of(), Map.of("weights", origin), Map.of(), 1)),
                Map.of(),
                List.of(participants),
                Map.of(),
                1);
    }

    private static List<String> digests() {
        String digest = Digests.of(new String(CONTENT, StandardCharsets.UTF_8));
        return List.of(digest, digest, digest);
    }

    private static List<String> corruptDigests() {
        List<String> digests = new ArrayList<>(digests());
        digests.set(0, Digests.of("wrong"));
        return digests;
    }

    /** A fetching entry that counts the calls to it. */
    private record FakeFetchingEntry(String has, AtomicInteger calls, int corruptManifests)
            implements Pieces.Iface {
        @Override
        public ManifestReply manifest(ManifestRequest request) {
            int call = calls.incrementAndGet();
            List<String> digests = call <= corruptManifests ? corruptDigests() : digests();
            return new ManifestReply()
                    .setSender(request.getSender())
                    .setDigests(has.equals("nothing") ? List.of() : digests);
        }

        @Override
        public PieceReply piece(PieceRequest request) {
            calls.incrementAndGet();
            PieceReply reply = new PieceReply().setSender(request.getSender());
            return has.equals("all") ? reply.setContent(CONTENT) : reply.setContent(CORRUPT);
        }
    }

    /** An origin that counts the requests for manifests and pieces. */
    private static final class CountingOrigin implements WeightsOrigin {
        private final AtomicInteger mManifests = new AtomicInteger();
        private final AtomicInteger mPieces = new AtomicInteger();
        private volatile int mCorruptManifests;

        @Override
        public PieceManifest manifest(HostPort origin, String model, long version) {
            boolean isCorrupt = mManifests.incrementAndGet() <= mCorruptManifests;
            return new PieceManifest(model, version, isCorrupt ? corruptDigests() : digests());
        }

        @Override
        public byte[] piece(HostPort origin, String model, long version, int piece) {
            mPieces.incrementAndGet();
            return CONTENT;
        }
    }

    /** An engine with an intact, a corrupt or no staged piece. */
    private record FakeEngine(String staged) implements StagingEngine {
        @Override
        public Status status() {
            return new Status(Map.of(), false, 0, 0);
        }

        @Override
        public void stage(String model, int piece, byte[] content) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<byte[]> stagedPiece(String model, int piece) {
            return switch (staged) {
                case "intact" -> Optional.of(CONTENT);
                case "corrupt" -> Optional.of(CORRUPT);
                default -> Optional.empty();
            };
        }

        @Override
        public boolean load(String model, long version) {
            throw new UnsupportedOperationException();
        }
    }
}
