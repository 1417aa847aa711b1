package org.sequoiahill.bench.admission;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.EngineProfile;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.FleetState;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.daemon.process.fleet.RoutingTable;
import org.sequoiahill.daemon.process.fleet.VersionHistory;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.version.staging.SwapSchedule;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/** Model engines in three data centres, and the snapshot of them that entries have. */
final class SimulatedFleet {
    static final String SERVICE = "writer";
    static final String MODEL = "model";

    /** Time until entries know of a change; about two hops between data centres. */
    static final Duration PROPAGATION_DELAY = Duration.ofMillis(40);

    private static final Duration SWAP_CHECK_INTERVAL = Duration.ofMillis(60);

    /** Time for the entries to learn that an engine is about to load a version. */
    private static final Duration SWAP_NOTICE = Duration.ofMillis(120);

    private static final int DATA_CENTRES = 3;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_CONNECTIONS = 300;

    /** Memory of an engine in tokens, pieces of a version and their bytes; never limiting here. */
    private static final int MEMORY_TOKENS = 685_000;

    private static final int PIECES = 48;
    private static final int PIECE_BYTES = 49_152;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final VirtualTime mTime;
    private final EngineParameters mParameters;
    private final int mEntries;
    private final List<Member> mMembers = new ArrayList<>();
    private FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;
    private VersionHistory mHistory = VersionHistory.NONE;
    private long mTarget = 1;
    private Runnable mListener = () -> {};

    SimulatedFleet(VirtualTime time, EngineParameters parameters, int entries) {
        mTime = time;
        mParameters = parameters;
        mEntries = entries;
    }

    /** An engine and the state that its agent announces. */
    static final class Member {
        private final int mNumber;
        private final ModelEngine mEngine;
        private long mVersion = 1;
        private boolean mIsSwapping;

        private Member(int number, ModelEngine engine) {
            mNumber = number;
            mEngine = engine;
        }

        ModelEngine engine() {
            return mEngine;
        }

        HostPort address() {
            return new HostPort("10.0.0." + mNumber, 80);
        }

        boolean isSwapping() {
            return mIsSwapping;
        }

        String dataCentre() {
            return dataCentreOf(mNumber);
        }

        private String agent() {
            return "agent-" + mNumber;
        }
    }

    static String dataCentreOf(int number) {
        return "dc-" + number % DATA_CENTRES;
    }

    /** Adds engines that start serving now. */
    void add(int count) {
        for (int i = 0; i < count; i++) {
            mMembers.add(new Member(mMembers.size() + 1, ModelEngine.of(mTime, mParameters)));
        }
        publishSnapshot();
    }

    /** Publishes a new version, which all present engines have staged after {@code stagingTime}. */
    void publishVersion(Duration stagingTime, Duration maxSwapWait) {
        mTarget++;
        mHistory = mHistory.with(mTarget, mTime.now());
        Duration publishedAt = mTime.now();
        publishSnapshot();
        for (Member member : List.copyOf(mMembers)) {
            mTime.runAfter(stagingTime, () -> swapWhenAllowed(member, publishedAt, maxSwapWait));
        }
    }

    List<Member> members() {
        return mMembers;
    }

    /** Returns the member at an address. */
    Member memberAt(HostPort address) {
        return mMembers.stream()
                .filter(member -> member.address().equals(address))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the snapshot that entries have. */
    FleetSnapshot snapshot() {
        return mSnapshot;
    }

    /** Sets the listener that is called when the snapshot of the entries changes. */
    void setListener(Runnable listener) {
        mListener = listener;
    }

    private void swapWhenAllowed(Member member, Duration publishedAt, Duration maxSwapWait) {
        Map<String, Long> versions = new HashMap<>();
        mMembers.forEach(other -> versions.put(other.agent(), other.mVersion));
        Duration age = mTime.now().minus(publishedAt);
        if (!SwapSchedule.mayLoad(member.agent(), versions, mTarget, age, maxSwapWait)) {
            mTime.runAfter(
                    SWAP_CHECK_INTERVAL, () -> swapWhenAllowed(member, publishedAt, maxSwapWait));
            return;
        }
        member.mIsSwapping = true;
        publishSnapshot();
        mTime.runAfter(
                SWAP_NOTICE,
                () ->
                        member.engine()
                                .loadVersion(
                                        () -> {
                                            member.mVersion = mTarget;
                                            member.mIsSwapping = false;
                                            publishSnapshot();
                                        }));
    }

    private void publishSnapshot() {
        FleetSnapshot snapshot = buildSnapshot();
        mTime.runAfter(
                PROPAGATION_DELAY,
                () -> {
                    mSnapshot = snapshot;
                    mListener.run();
                });
    }

    private FleetSnapshot buildSnapshot() {
        List<EndpointInfo> endpoints = new ArrayList<>();
        List<Participant> participants = new ArrayList<>();
        for (Member member : mMembers) {
            String dataCentre = member.dataCentre();
            String address = member.address().toString();
            Map<String, Long> versions = Map.of(MODEL, member.mVersion);
            endpoints.add(
                    new EndpointInfo(
                            "engine-" + member.mNumber,
                            1,
                            1,
                            SERVICE,
                            member.address(),
                            dataCentre,
                            mParameters.slots(),
                            EndpointState.READY,
                            Duration.ZERO,
                            versions));
            participants.add(
                    new Participant(
                            member.agent(),
                            member.agent(),
                            ParticipantRole.AGENT,
                            dataCentre,
                            "10.0.1.1:1",
                            1,
                            1,
                            address,
                            SERVICE,
                            member.mIsSwapping,
                            versions));
        }
        for (int entry = 0; entry < mEntries; entry++) {
            String name = "entry-" + entry;
            participants.add(
                    new Participant(
                            name,
                            name,
                            ParticipantRole.ENTRY,
                            dataCentreOf(entry),
                            "10.0.2.1:1",
                            1,
                            1,
                            "",
                            "",
                            false,
                            Map.of()));
        }
        return FleetSnapshot.of(
                fleetState(),
                Optional.of(routingTable()),
                Map.of(SERVICE, endpoints),
                participants,
                Map.of(MODEL, mHistory),
                1);
    }

    private FleetState fleetState() {
        return new FleetState(
                1, 1, ByteBuffer.allocate(0), Map.of(), Map.of(), Map.of(MODEL, mTarget), Map.of());
    }

    private RoutingTable routingTable() {
        EngineProfile profile =
                new EngineProfile(
                        MODEL,
                        mParameters.slots(),
                        MEMORY_TOKENS,
                        Duration.ofNanos((long) (mParameters.stepMillis() * NANOS_PER_MILLI)),
                        Duration.ofNanos(
                                (long) (mParameters.stepMillisPerRequest() * NANOS_PER_MILLI)),
                        mParameters.prefillTokensPerMilli() * MILLIS_PER_SECOND,
                        mParameters.stepsPerPass(),
                        PIECES,
                        PIECE_BYTES,
                        mParameters.loadTime());
        RoutedService service =
                new RoutedService(
                        SERVICE,
                        MAX_CONNECTIONS,
                        Duration.ZERO,
                        0,
                        Optional.empty(),
                        Optional.of(profile));
        return RoutingTable.of(1, List.of(), Map.of(SERVICE, service), Map.of(), MAX_BODY_BYTES);
    }
}
