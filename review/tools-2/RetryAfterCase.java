import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of six replicas turn requests away with 503 and Retry-After. Meanwhile all processes of the
 * core are killed and come back within a second. None of the three may get more than two requests
 * from half a second after its answer until the time has passed.
 */
final class RetryAfterCase {
    private static final int RETRY_AFTER_S = 12;
    private static final double GRACE_S = 0.5;
    private static final int ALLOWED = 2;
    private static final int SOUND_REPLICAS = 3;
    private static final int SHEDDING_REPLICAS = 3;
    private static final int CALLS_PER_S = 300;
    private static final long WORK_MILLIS = 86;

    /** Time in which a replica turns a request away, with the way to another region and back. */
    private static final long REFUSAL_MILLIS = 15;

    private RetryAfterCase() {}

    public static void main(String[] args) throws IOException {
        Fleet.runAndExit(args, RetryAfterCase::run);
    }

    private static int run(Fleet fleet, Record record, boolean hasTrouble) throws Exception {
        fleet.planStores(3);
        List<Fleet.Daemon> stores = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String dataCentre = "abc".substring(i, i + 1);
            stores.add(fleet.add("store-" + (i + 1), "store", fleet.ip(i + 1), dataCentre, "", ""));
        }
        // With one entry, every request that reaches a replica comes from it.
        String entry = fleet.ip(11);
        fleet.add("entry-1", "entry", entry, "a", "", "");
        AtomicBoolean isShedding = new AtomicBoolean();
        // When each replica first turned the entry away, and how many requests came after that.
        Map<String, Double> turnedAwayAt = new ConcurrentHashMap<>();
        Map<String, AtomicInteger> later = new ConcurrentHashMap<>();
        Replica2.Behaviour sound =
                (replica, request, socket) -> {
                    Thread.sleep(WORK_MILLIS);
                    replica.write(socket, request, "200 OK", "", "free", true);
                    return true;
                };
        Replica2.Behaviour shedding =
                (replica, request, socket) -> {
                    if (!isShedding.get()) {
                        return sound.answer(replica, request, socket);
                    }
                    double now = record.now();
                    if (turnedAwayAt.putIfAbsent(replica.id(), now) == null) {
                        later.put(replica.id(), new AtomicInteger());
                        record.add(
                                "%s answers 503 with Retry-After: %d", replica.id(), RETRY_AFTER_S);
                    }
                    double since = now - turnedAwayAt.get(replica.id());
                    if (since > GRACE_S && since < RETRY_AFTER_S) {
                        record.add(
                                "request %s reaches %s %.3f s after the 503 with Retry-After: %d"
                                        + " (number %d)",
                                request.header("X-Sequoiahill-Attempt-Id"),
                                replica.id(),
                                since,
                                RETRY_AFTER_S,
                                later.get(replica.id()).incrementAndGet());
                    }
                    Thread.sleep(REFUSAL_MILLIS);
                    replica.write(
                            socket,
                            request,
                            "503 Service Unavailable",
                            "X-Sequoiahill-Not-Executed: 1\r\nRetry-After: " + RETRY_AFTER_S
                                    + "\r\n",
                            "",
                            false);
                    return true;
                };
        List<Replica2> replicas = new ArrayList<>();
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        try {
            for (int i = 1; i <= SOUND_REPLICAS + SHEDDING_REPLICAS; i++) {
                replicas.add(
                        new Replica2(
                                record, fleet.stores(), "i-" + i, "desk",
                                "abc".substring(i % 3, i % 3 + 1), fleet.ip(30 + i), "",
                                i > SOUND_REPLICAS ? shedding : sound));
            }
            fleet.order("/api/config/put", Caller2.configuration(7, "safe", 2), 30);
            fleet.awaitReady(entry, 30);
            fleet.endBootstrap();
            Thread.sleep(5_000);
            Replica2.start("callers", () -> callAtRate(entry, isOver, served, other));
            Thread.sleep(3_000);
            isShedding.set(true);
            Thread.sleep(2_000);
            if (hasTrouble) {
                for (Fleet.Daemon store : stores) {
                    store.signal("KILL");
                }
                for (Fleet.Daemon store : stores) {
                    store.awaitEnd();
                }
                Thread.sleep(300);
                for (Fleet.Daemon store : stores) {
                    store.start();
                }
            }
            Thread.sleep((RETRY_AFTER_S - 1) * 1_000L);
            isOver.set(true);
            Thread.sleep(500);
            record.add("%d requests served, %d not served", served.get(), other.get());
        } finally {
            for (Replica2 replica : replicas) {
                replica.close();
            }
        }
        if (turnedAwayAt.isEmpty()) {
            record.add("the entry was not turned away, so the case did not run");
            return 2;
        }
        boolean isBroken = false;
        for (Map.Entry<String, AtomicInteger> each : later.entrySet()) {
            record.add("%s: %d requests within Retry-After", each.getKey(), each.getValue().get());
            isBroken |= each.getValue().get() > ALLOWED;
        }
        record.add(isBroken ? "BUDGET is broken: more than two requests" : "the rule held");
        return isBroken ? 1 : 0;
    }

    private static void callAtRate(
            String entry, AtomicBoolean isOver, AtomicInteger served, AtomicInteger other) {
        long interval = 1_000_000_000L / CALLS_PER_S;
        long next = System.nanoTime();
        while (!isOver.get()) {
            try {
                Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
            next += interval;
            Replica2.start(
                    "caller",
                    () -> {
                        try {
                            int status =
                                    Caller2.send(
                                                    entry, "GET", "/book/look", Caller2.newId(),
                                                    "", 4_000)
                                            .status();
                            (status == 200 ? served : other).incrementAndGet();
                        } catch (Exception e) {
                            other.incrementAndGet();
                        }
                    });
        }
    }
}
