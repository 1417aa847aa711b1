package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * WHOLE: a side machine freezes between the check of the staged pieces and the order to load them;
 * meanwhile some of the checked pieces turn bad.
 */
final class PausedAgent {
    private static final int ENGINES = 9;
    private static final long FREEZE_MILLIS = 4_000;

    /** Versions that are named one after the other, until one is loaded with spoilt pieces. */
    private static final int ROUNDS = 5;

    /** Piece after which the agent is frozen; the ones after it leave time for the signal. */
    private static final int FREEZE_PIECE = 40;

    /** 0.06 of 48 pieces. */
    private static final int SPOILT_PIECES = 2;

    private volatile boolean mIsEnded;
    private volatile int mRound;
    private volatile Engine mStopped;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mSpoilt = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        int status;
        try (Lab lab = new Lab("zone-a", "zone-b", "zone-c")) {
            try {
                status = new PausedAgent().run(lab);
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
        Weights.Origin origin = new Weights.Origin(lab, lab.newIp());
        origin.start();
        List<Lab.Daemon> entries = new ArrayList<>();
        for (String zone : zones) {
            entries.add(lab.startEntry(zone));
        }
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Guarded engine = new Guarded(lab, lab.newIp(), zones.get(i % 3));
            engine.start();
            engine.register();
            engine.agent = lab.startAgent(engine.ip, engine.zone);
            engines.add(engine);
        }
        lab.await("leader", 30_000, () -> lab.leader() != null);
        lab.order("POST", "/api/config/put", Weights.configuration(1, origin.ip, 6_000));
        lab.await("ready entry", 30_000, () -> entries.stream().allMatch(Lab::isReady));
        entries.forEach(entry -> Replica.daemonThread(() -> sendRequests(lab, entry)));
        lab.await("answer", 30_000, () -> mAnswered.get() > 40);
        Lab.sleep(3_000);

        for (int version = 2; version < 2 + ROUNDS && mSpoilt.get() == 0; version++) {
            long named = version;
            mStopped = null;
            mRound = version;
            String body = "{\"model\":\"daka\",\"version\":" + version + "}";
            lab.order("POST", "/api/version-put", body);
            lab.await(
                    "version " + version,
                    30_000,
                    () -> engines.stream().allMatch(e -> e.version() == named));
            Lab.sleep(4_000);
        }
        mIsEnded = true;
        lab.note(mSpoilt.get() + " requests were answered with tokens of spoilt layers");
        return mSpoilt.get() > 0 ? 1 : 0;
    }

    private void sendRequests(Lab lab, Lab.Daemon entry) throws InterruptedException {
        while (!mIsEnded) {
            String id = Caller.newId();
            Replica.daemonThread(
                    () -> {
                        String headers = Weights.requestHeaders(id);
                        int status = StreamCaller.send(entry, "/letter/1", id, headers, 6_000);
                        lab.note("request " + id + " at " + entry.ip + " answered " + status);
                        if (status == 200) {
                            mAnswered.incrementAndGet();
                        }
                    });
            Lab.sleep(40);
        }
    }

    /** An engine whose agent may be frozen while it checks the staged pieces, one in each round. */
    private final class Guarded extends Engine {
        private Lab.Daemon agent;

        Guarded(Lab lab, String ip, String zone) {
            super(lab, ip, zone);
        }

        @Override
        void onStagedRead(int number) throws IOException {
            if (!Lab.isTrouble()
                    || mRound == 0
                    || number != FREEZE_PIECE
                    || putPieces() < Weights.CHUNKS) {
                return;
            }
            synchronized (PausedAgent.this) {
                if (mStopped != null) {
                    return;
                }
                mStopped = this;
            }
            agent.signalFast("STOP");
            for (int i = 0; i < SPOILT_PIECES; i++) {
                spoil(i);
            }
            daemonThread(
                    () -> {
                        Thread.sleep(FREEZE_MILLIS);
                        agent.signalFast("CONT");
                    });
        }

        @Override
        void onTokens(String id, String fault) {
            if (!fault.isEmpty()) {
                lab.note("request " + id + " has tokens of spoilt layers: " + fault);
                mSpoilt.incrementAndGet();
            }
        }
    }
}
