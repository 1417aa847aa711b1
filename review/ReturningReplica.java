package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * RECOVER: after the final fault, the replica of a service leaves as planned and starts again under
 * the id that it had. It has deregistered at another store than the one that it beats to.
 */
final class ReturningReplica {
    private static final String CONFIG =
            """
            {"version":1,"routes":[{"name":"r","host":"desk.example","path_prefix":"/look/",\
            "kind":"safe","timeout_ms":1500,"target_latency_ms":400,"priority":1,\
            "service":"desk","max_attempts":2,"allow_anonymous":true}],\
            "services":[{"name":"desk","health_path":"/health","max_connections":110}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
            "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}""";

    private static final long DOWN_MILLIS = 1_200;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long WATCH_MILLIS = 25_000;

    private volatile boolean mIsEnded;
    private volatile long mFaultAt = Long.MAX_VALUE;
    private volatile long mRecoveredAt = Long.MAX_VALUE;
    private final AtomicInteger mSentBefore = new AtomicInteger();
    private final AtomicInteger mServedBefore = new AtomicInteger();
    private final AtomicInteger mSentAfter = new AtomicInteger();
    private final AtomicInteger mServedAfter = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        int status;
        try (Lab lab = new Lab("zone-a", "zone-b", "zone-c")) {
            try {
                status = new ReturningReplica().run(lab);
            } catch (Lab.NotReadyException e) {
                lab.note("the case could not run: " + e.getMessage());
                status = 2;
            }
        }
        Runtime.getRuntime().halt(status);
    }

    private int run(Lab lab) throws Exception {
        lab.startStores();
        List<Lab.Daemon> entries = new ArrayList<>();
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
            entries.add(lab.startEntry(zone));
        }
        Desk replica = new Desk(lab, lab.newIp(), "zone-a");
        replica.start();
        replica.register();
        lab.await("leader", 20_000, () -> lab.leader() != null);
        lab.order("POST", "/api/config/put", CONFIG);
        lab.await("ready entry", 20_000, () -> entries.stream().allMatch(Lab::isReady));
        entries.forEach(entry -> Replica.daemonThread(() -> sendRequests(lab, entry)));
        lab.await("answer", 20_000, () -> mServedBefore.get() > 40);
        Lab.sleep(2_000);

        lab.note("the final fault: all processes are killed");
        mFaultAt = lab.millis();
        for (Lab.Daemon daemon : lab.daemons()) {
            daemon.signal("KILL");
        }
        for (Lab.Daemon daemon : lab.daemons()) {
            daemon.awaitEnd();
        }
        Lab.sleep(mFaultAt + DOWN_MILLIS - lab.millis());
        for (Lab.Daemon daemon : lab.daemons()) {
            daemon.start();
        }
        long backAt = lab.millis();
        lab.note("all processes have been started again");
        mRecoveredAt = backAt + RECOVERY_MILLIS;
        lab.await("ready entry", 10_000, () -> entries.stream().allMatch(Lab::isReady));
        int servedBefore = replica.mServed.get();
        lab.await("answer after the fault", 10_000, () -> replica.mServed.get() > servedBefore);

        if (Lab.isTrouble()) {
            Lab.Daemon other = replica.anotherStore();
            String path = "/api/instances/" + replica.id + "/deregister";
            lab.note("the replica " + replica.id + " leaves: it deregisters, beats no more");
            replica.stopBeats();
            Lab.Reply reply = lab.callOnce(other, "POST", path, "{\"born\":" + replica.born + "}");
            if (!reply.isOk()) {
                throw new Lab.NotReadyException("the replica could not deregister");
            }
            Lab.sleep(DRAIN_MILLIS + 500);
            replica.restart();
            lab.note("the replica " + replica.id + " starts again, born " + replica.born);
        }
        Lab.sleep(mRecoveredAt + WATCH_MILLIS - lab.millis());
        mIsEnded = true;
        Lab.sleep(2_000);
        lab.note("heartbeats of the restarted replica acknowledged: " + replica.acknowledgedBeats);
        lab.note("before the final fault " + mServedBefore + " of " + mSentBefore + " were served");
        lab.note("after the recovery " + mServedAfter + " of " + mSentAfter + " were served");
        boolean wasServed = 4 * mServedBefore.get() >= mSentBefore.get();
        boolean isServed = 4 * mServedAfter.get() >= mSentAfter.get();
        return wasServed && !isServed ? 1 : 0;
    }

    private void sendRequests(Lab lab, Lab.Daemon entry) throws InterruptedException {
        while (!mIsEnded) {
            String id = Caller.newId();
            long start = lab.millis();
            Caller.Answer answer =
                    Caller.send(
                            entry, "GET", "desk.example", "/look/1", id, "", new byte[0], 1_500);
            lab.note("request " + id + " at " + entry.ip + " answered " + answer.status());
            int served = answer.status() == 200 ? 1 : 0;
            if (start < mFaultAt) {
                mSentBefore.incrementAndGet();
                mServedBefore.addAndGet(served);
            } else if (start > mRecoveredAt) {
                mSentAfter.incrementAndGet();
                mServedAfter.addAndGet(served);
            }
            Lab.sleep(100);
        }
    }

    private static final class Desk extends Replica {
        private final AtomicInteger mServed = new AtomicInteger();

        Desk(Lab lab, String ip, String zone) {
            super(lab, ip, "desk", zone);
        }

        @Override
        void handle(Request request, OutputStream out) throws IOException {
            lab.note("request " + request.header("X-Sequoiahill-Attempt-Id") + " runs at " + id);
            mServed.incrementAndGet();
            super.handle(request, out);
        }
    }
}
