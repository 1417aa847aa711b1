import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three replicas, whose health check is good, fails two in five of its bookings. It runs
 * them, and then answers with a status that tells clients that nothing ran, but without the header
 * by which a replica states that.
 */
final class RefusedCase {
    private static final int REPLICAS = 3;
    private static final int BOOKINGS = 120;
    private static final double FAILING_SHARE = 0.4;

    /** Clients take these for a promise that the request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private RefusedCase() {}

    public static void main(String[] args) throws IOException {
        Fleet.runAndExit(args, RefusedCase::run);
    }

    private static int run(Fleet fleet, Record record, boolean hasTrouble) throws Exception {
        fleet.planStores(1);
        fleet.add("store-1", "store", fleet.ip(1), "a", "", "");
        String entry = fleet.ip(11);
        fleet.add("entry-1", "entry", entry, "a", "", "");
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        AtomicInteger greyRuns = new AtomicInteger();
        Replica2.Behaviour booking =
                (replica, request, socket) -> {
                    String id = request.header("X-Sequoiahill-Attempt-Id");
                    ranAt.put(id, replica.id());
                    record.add("%s runs booking %s of attempt %s", replica.id(), request.text(), id);
                    Thread.sleep(20);
                    boolean isGrey = hasTrouble && replica.id().equals("i-1");
                    int run = isGrey ? greyRuns.incrementAndGet() : 0;
                    boolean fails = (int) (run * FAILING_SHARE) > (int) ((run - 1) * FAILING_SHARE);
                    String failure = run % 2 == 0 ? "408 Request Timeout" : "429 Too Many Requests";
                    replica.write(
                            socket, request, fails ? failure : "200 OK", "",
                            fails ? "failed" : "booked", true);
                    return true;
                };
        List<Replica2> replicas = new ArrayList<>();
        int broken = 0;
        int twice = 0;
        try {
            for (int i = 1; i <= REPLICAS; i++) {
                replicas.add(
                        new Replica2(
                                record, fleet.stores(), "i-" + i, "desk", "a", fleet.ip(30 + i), "",
                                booking));
            }
            fleet.order("/api/config/put", Caller2.configuration(7, "unsafe", 1), 30);
            fleet.awaitReady(entry, 30);
            Thread.sleep(3_000);
            for (int i = 0; i < BOOKINGS; i++) {
                int runs = 0;
                // A client repeats a booking once, only after a promise that it has not run.
                for (int attempt = 0; attempt < 2; attempt++) {
                    String id = Caller2.newId();
                    record.add("booking b-%d is sent as attempt %s", i, id);
                    Http.Message response =
                            Caller2.send(entry, "POST", "/book/string", id, "b-" + i, 4_000);
                    boolean isPromise = PROMISES.contains(response.status());
                    boolean hasRun = ranAt.containsKey(id);
                    record.add(
                            "attempt %s gets %d, seal '%s'",
                            id, response.status(), response.header("X-Sequoiahill-Server-Seal"));
                    runs += hasRun ? 1 : 0;
                    if (isPromise && hasRun) {
                        record.add(
                                "REFUSED is broken: attempt %s gets %d and has run at %s",
                                id, response.status(), ranAt.get(id));
                        broken++;
                    }
                    if (!isPromise) {
                        break;
                    }
                }
                if (runs > 1) {
                    record.add("booking b-%d has run %d times", i, runs);
                    twice++;
                }
            }
        } finally {
            for (Replica2 replica : replicas) {
                replica.close();
            }
        }
        if (ranAt.isEmpty()) {
            record.add("no booking has run, so the case did not run");
            return 2;
        }
        record.add("REFUSED is broken %d times, %d bookings have run twice", broken, twice);
        return broken == 0 ? 0 : 1;
    }
}
