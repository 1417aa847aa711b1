package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.EngineProfile;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.FleetState;
import org.sequoiahill.daemon.process.fleet.Route;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.daemon.process.fleet.RoutingTable;
import org.sequoiahill.daemon.process.fleet.VersionHistory;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * Builds snapshots of a fleet with one service {@code writer} in the data centres dc-1 and dc-2.
 */
final class TestFleet {
    static final DirectSettings SETTINGS = settingsWithRetries(0.2, 100);

    private final List<EndpointInfo> mEndpoints = new ArrayList<>();
    private final Map<String, VersionHistory> mHistories = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final Map<String, Long> mOutOfService = new HashMap<>();
    private final List<Participant> mParticipants = new ArrayList<>();
    private double mColdRate;
    private int mConnections = 10_000;
    private Optional<EngineProfile> mEngine = Optional.empty();

    /** Returns settings with the given limits of retries. */
    static DirectSettings settingsWithRetries(double ratio, double slack) {
        return new DirectSettings(
                "entry-0",
                Map.of("dc-1", "region-1", "dc-2", "region-2"),
                "region-1",
                ratio,
                Duration.ofSeconds(10),
                slack,
                Duration.ofSeconds(7),
                Duration.ofMillis(7_500));
    }

    /** Adds a ready endpoint. */
    TestFleet endpoint(String id, String dataCentre, int slots) {
        return endpoint(id, dataCentre, slots, EndpointState.READY, Duration.ZERO);
    }

    TestFleet endpoint(
            String id, String dataCentre, int slots, EndpointState state, Duration coldUntil) {
        mEndpoints.add(
                new EndpointInfo(
                        id,
                        100,
                        1,
                        "writer",
                        new HostPort("127.0.0." + (mEndpoints.size() + 1), 80),
                        dataCentre,
                        slots,
                        state,
                        coldUntil,
                        Map.of("model", 1L)));
        return this;
    }

    /** Adds an agent beside the last endpoint; the agent reports that it is swapping versions. */
    TestFleet swapping() {
        EndpointInfo last = mEndpoints.get(mEndpoints.size() - 1);
        mParticipants.add(
                new Participant(
                        "agent-of-" + last.id(),
                        "agent",
                        ParticipantRole.AGENT,
                        last.dataCentre(),
                        "127.0.0.1:1",
                        1,
                        1,
                        last.address().toString(),
                        "writer",
                        true,
                        Map.of("model", 1L)));
        return this;
    }

    TestFleet entries(int count) {
        for (int i = 0; i < count; i++) {
            mParticipants.add(
                    new Participant(
                            "entry-" + i,
                            "entry",
                            ParticipantRole.ENTRY,
                            "dc-1",
                            "127.0.0.1:1",
                            1,
                            1,
                            "",
                            "",
                            false,
                            Map.of()));
        }
        return this;
    }

    TestFleet outOfService(String dataCentre) {
        mOutOfService.put(dataCentre, 1L);
        return this;
    }

    /** Makes the service's endpoints engines that process this many prompt tokens per second. */
    TestFleet engines(double prefillRate) {
        mEngine =
                Optional.of(
                        new EngineProfile(
                                "model",
                                16,
                                685_000,
                                Duration.ofMillis(7),
                                Duration.ofNanos(38_700),
                                prefillRate,
                                6,
                                48,
                                49_152,
                                Duration.ofMillis(300)));
        return this;
    }

    /** Sets the connection limit of each endpoint for all entries together. */
    TestFleet connections(int limit) {
        mConnections = limit;
        return this;
    }

    TestFleet coldRate(double rate) {
        mColdRate = rate;
        return this;
    }

    /** Adds a published version of the model; the endpoints keep version 1. */
    TestFleet version(long version, Duration publishedAt) {
        mVersions.put("model", version);
        mHistories.put(
                "model",
                mHistories.getOrDefault("model", VersionHistory.NONE).with(version, publishedAt));
        return this;
    }

    FleetSnapshot snapshot() {
        RoutedService service =
                new RoutedService(
                        "writer",
                        mConnections,
                        Duration.ofSeconds(3),
                        mColdRate,
                        Optional.empty(),
                        mEngine);
        return FleetSnapshot.of(
                new FleetState(
                        1, 1, ByteBuffer.allocate(0), mOutOfService, Map.of(), mVersions, Map.of()),
                Optional.of(
                        RoutingTable.of(
                                1,
                                List.of(route(Route.Kind.IDEMPOTENT, 2)),
                                Map.of("writer", service),
                                Map.of(),
                                1 << 20)),
                Map.of("writer", mEndpoints),
                mParticipants,
                mHistories,
                1);
    }

    static Route route(Route.Kind kind, int maxAttempts) {
        return new Route(
                "r",
                "host.example",
                "/a/",
                kind,
                Duration.ofSeconds(4),
                Duration.ofMillis(400),
                Duration.ofMillis(300),
                1,
                List.of(new Route.Share("writer", 1)),
                maxAttempts,
                true,
                kind == Route.Kind.STREAM,
                Set.of());
    }
}
