package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * EVAC: a store freezes while the operator sends it the end of an evacuation. The operator has the
 * order acknowledged by another store, and evacuates the zone again. Then the first store wakes.
 */
final class LateOrder {
    private static final String CONFIG =
            """
            {"version":1,"routes":[{"name":"r","host":"desk.example","path_prefix":"/look/",\
            "kind":"safe","timeout_ms":1500,"target_latency_ms":400,"priority":1,\
            "service":"desk","max_attempts":2,"allow_anonymous":true}],\
            "services":[{"name":"desk","health_path":"/health","max_connections":110}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
            "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}""";

    private static final long FREEZE_MILLIS = 4_000;
    private static final long EVACUATE_MILLIS = 5_000;
    private static final long MAX_STRETCH_MILLIS = 5_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long WATCH_MILLIS = 5_000;

    /** Tries; in some, the store wakes before it knows a leader again and refuses the order. */
    private static final int ROUNDS = 5;

    private volatile boolean mIsEnded;
    private volatile long mJudgedFrom = Long.MAX_VALUE;
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        int status;
        try (Lab lab = new Lab("zone-a", "zone-b", "zone-c")) {
            try {
                status = new LateOrder().run(lab);
            } catch (Lab.NotReadyException e) {
                lab.note("the case could not run: " + e.getMessage());
                status = 2;
            }
        }
        Runtime.getRuntime().halt(status);
    }

    private int run(Lab lab) throws Exception {
        lab.startStores();
        List<Lab.Daemon> entries = List.of(lab.startEntry("zone-a"), lab.startEntry("zone-b"));
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
            Replica replica = new Desk(lab, zone);
            replica.start();
            replica.register();
        }
        lab.await("leader", 20_000, () -> lab.leader() != null);
        lab.order("POST", "/api/config/put", CONFIG);
        lab.await("ready entry", 20_000, () -> entries.stream().allMatch(Lab::isReady));
        entries.forEach(entry -> Replica.daemonThread(() -> sendRequests(lab, entry)));
        lab.await("answer", 20_000, () -> mAnswered.get() > 20);

        lab.note("the operator evacuates zone-a");
        lab.order("POST", "/api/evacuations/zone-a/start", "");
        Lab.sleep(EVACUATE_MILLIS + 1_000);
        for (int round = 0; round < ROUNDS && mLate.get() == 0; round++) {
            takeBackAndEvacuate(lab);
        }
        mIsEnded = true;
        lab.note(mLate.get() + " requests reached zone-a though its evacuation was acknowledged");
        return mLate.get() > 0 ? 1 : 0;
    }

    /**
     * Takes the zone back and evacuates it again, while one store is frozen; then watches whether
     * requests reach the zone.
     */
    private void takeBackAndEvacuate(Lab lab) throws Exception {
        Lab.Daemon leader = lab.leader();
        Lab.Daemon follower =
                lab.stores().stream().filter(store -> store != leader).findFirst().orElseThrow();
        mJudgedFrom = Long.MAX_VALUE;
        long frozenAt = lab.millis();
        if (Lab.isTrouble()) {
            follower.signal("STOP");
        }
        lab.note("the operator takes zone-a back");
        lab.order("POST", "/api/evacuations/zone-a/end", "", follower, leader);
        lab.note("the operator evacuates zone-a again");
        lab.order("POST", "/api/evacuations/zone-a/start", "", leader);
        final long acknowledgedAt = lab.millis();
        lab.note("the second evacuation is acknowledged");
        Lab.sleep(frozenAt + FREEZE_MILLIS - lab.millis());
        if (Lab.isTrouble()) {
            follower.signal("CONT");
        }
        mJudgedFrom =
                Math.max(
                        acknowledgedAt + EVACUATE_MILLIS + MAX_STRETCH_MILLIS,
                        lab.millis() + 2 * CONTACT_MILLIS);
        lab.note("requests that reach zone-a count from " + mJudgedFrom + " on");
        Lab.sleep(mJudgedFrom + WATCH_MILLIS - lab.millis());
    }

    private void sendRequests(Lab lab, Lab.Daemon entry) throws InterruptedException {
        while (!mIsEnded) {
            String id = Caller.newId();
            Caller.Answer answer =
                    Caller.send(
                            entry, "GET", "desk.example", "/look/1", id, "", new byte[0], 1_500);
            lab.note("request " + id + " at " + entry.ip + " answered " + answer.status());
            if (answer.status() == 200) {
                mAnswered.incrementAndGet();
            }
            Lab.sleep(50);
        }
    }

    private final class Desk extends Replica {
        Desk(Lab lab, String zone) {
            super(lab, lab.newIp(), "desk", zone);
        }

        @Override
        void handle(Request request, OutputStream out) throws IOException {
            lab.note("request " + request.header("X-Sequoiahill-Attempt-Id") + " runs in " + zone);
            if (zone.equals("zone-a") && lab.millis() > mJudgedFrom) {
                mLate.incrementAndGet();
            }
            super.handle(request, out);
        }
    }
}
