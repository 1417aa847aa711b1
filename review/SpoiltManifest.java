package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * RECOVER: the final fault kills all processes right after new weights were named. After it, the
 * first two manifests that the origin sends are corrupted in one character; mostly one is sent.
 */
final class SpoiltManifest {
    private static final int ENGINES = 3;

    /** At most 0.04 of the origin's answers, which are the manifests and 48 pieces. */
    private static final int SPOILT_MANIFESTS = 2;

    private static final long DOWN_MILLIS = 1_200;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long WATCH_MILLIS = 25_000;

    private volatile boolean mIsEnded;
    private volatile boolean mIsFaultOver;
    private final AtomicInteger mManifests = new AtomicInteger();
    private final AtomicInteger mSentBefore = new AtomicInteger();
    private final AtomicInteger mServedBefore = new AtomicInteger();
    private final AtomicInteger mSentAfter = new AtomicInteger();
    private final AtomicInteger mServedAfter = new AtomicInteger();
    private volatile long mFaultAt = Long.MAX_VALUE;
    private volatile long mRecoveredAt = Long.MAX_VALUE;

    public static void main(String[] args) throws Exception {
        int status;
        try (Lab lab = new Lab("zone-a", "zone-b", "zone-c")) {
            try {
                status = new SpoiltManifest().run(lab);
            } catch (Lab.NotReadyException e) {
                lab.note("the case could not run: " + e.getMessage());
                status = 2;
            }
        }
        Runtime.getRuntime().halt(status);
    }

    private int run(Lab lab) throws Exception {
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        lab.startStores();
        Weights.Origin origin = new SpoilingOrigin(lab, lab.newIp());
        origin.start();
        List<Lab.Daemon> entries = new ArrayList<>();
        for (String zone : zones) {
            entries.add(lab.startEntry(zone));
        }
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine(lab, lab.newIp(), zones.get(i % 3));
            engine.start();
            engine.register();
            lab.startAgent(engine.ip, engine.zone);
            engines.add(engine);
        }
        lab.await("leader", 30_000, () -> lab.leader() != null);
        lab.order("POST", "/api/config/put", Weights.configuration(1, origin.ip, 6_000));
        lab.await("ready entry", 30_000, () -> entries.stream().allMatch(Lab::isReady));
        entries.forEach(entry -> Replica.daemonThread(() -> sendRequests(lab, entry)));
        lab.await("answer", 30_000, () -> mServedBefore.get() > 40);
        Lab.sleep(4_000);

        lab.order("POST", "/api/version-put", "{\"model\":\"daka\",\"version\":2}");
        lab.note("the final fault: all processes are killed");
        mFaultAt = lab.millis();
        for (Lab.Daemon daemon : lab.daemons()) {
            daemon.signal("KILL");
        }
        for (Lab.Daemon daemon : lab.daemons()) {
            daemon.awaitEnd();
        }
        Lab.sleep(mFaultAt + DOWN_MILLIS - lab.millis());
        mIsFaultOver = true;
        for (Lab.Daemon daemon : lab.daemons()) {
            daemon.start();
        }
        lab.note("all processes have been started again");
        mRecoveredAt = lab.millis() + RECOVERY_MILLIS;
        Lab.sleep(RECOVERY_MILLIS + WATCH_MILLIS);
        mIsEnded = true;
        Lab.sleep(6_500);
        for (Engine engine : engines) {
            lab.note("engine " + engine.ip + " serves version " + engine.version());
        }
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
            Replica.daemonThread(
                    () -> {
                        String headers = Weights.requestHeaders(id);
                        int status = StreamCaller.send(entry, "/letter/1", id, headers, 6_000);
                        lab.note("request " + id + " at " + entry.ip + " answered " + status);
                        if (start < mFaultAt) {
                            mSentBefore.incrementAndGet();
                            mServedBefore.addAndGet(status == 200 ? 1 : 0);
                        } else if (start > mRecoveredAt) {
                            mSentAfter.incrementAndGet();
                            mServedAfter.addAndGet(status == 200 ? 1 : 0);
                        }
                    });
            Lab.sleep(100);
        }
    }

    /** An origin of which the first manifests after the final fault are corrupted. */
    private final class SpoilingOrigin extends Weights.Origin {
        SpoilingOrigin(Lab lab, String ip) {
            super(lab, ip);
        }

        @Override
        String manifest(long version) {
            String intact = super.manifest(version);
            if (!Lab.isTrouble()
                    || !mIsFaultOver
                    || mManifests.incrementAndGet() > SPOILT_MANIFESTS) {
                return intact;
            }
            lab.note("one character of that manifest is corrupted");
            String digest = Weights.digest(Weights.piece(version, 5));
            char first = digest.charAt(0) == 'a' ? 'b' : 'a';
            return intact.replace(digest, first + digest.substring(1));
        }
    }
}
