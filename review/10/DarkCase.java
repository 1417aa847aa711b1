import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A booking crashes each replica that begins to run it. The replica goes dark: its connections stay
 * open and silent, and it is back some seconds later. The booking comes again every few seconds,
 * with the same path, caller and body.
 */
final class DarkCase {
    private static final int REPLICAS = 4;
    private static final String BOOKING = "standing order 17";
    private static final int REPEATS = 16;
    private static final long REPEAT_MILLIS = 4_500;

    /** A crashed replica is back after this time. */
    private static final long RESTART_MILLIS = 2_500;

    private static final double CONTACT_S = 3;
    private static final int CRASHES_BEFORE_BOUND = 3;
    private static final int ALLOWED_RETRIES = 3;

    private final Fleet mFleet;
    private final Record mRecord;
    private final boolean mCrashes;
    private final AtomicInteger mStarts = new AtomicInteger();
    private final List<Replica2> mReplicas = new CopyOnWriteArrayList<>();
    private final List<Double> mCrashedAt = new CopyOnWriteArrayList<>();
    private final AtomicInteger mLateRetries = new AtomicInteger();

    private DarkCase(Fleet fleet, Record record, boolean crashes) {
        mFleet = fleet;
        mRecord = record;
        mCrashes = crashes;
    }

    public static void main(String[] args) throws IOException {
        Fleet.runAndExit(
                args, (fleet, record, hasTrouble) -> new DarkCase(fleet, record, hasTrouble).run());
    }

    private void start(int index) throws IOException {
        AtomicBoolean isDark = new AtomicBoolean();
        mReplicas.add(
                new Replica2(
                        mRecord,
                        mFleet.stores(),
                        "i-" + mStarts.incrementAndGet(),
                        "desk",
                        "abc".substring(index % 3, index % 3 + 1),
                        mFleet.ip(31 + index),
                        "",
                        (replica, request, socket) -> {
                            if (mCrashes && request.text().equals(BOOKING) && !isDark.get()) {
                                isDark.set(true);
                                crash(index, replica);
                            }
                            if (!isDark.get()) {
                                Thread.sleep(60);
                            }
                            if (isDark.get()) {
                                // A dark machine answers nothing and closes nothing.
                                Thread.sleep(Long.MAX_VALUE);
                            }
                            replica.write(socket, request, "200 OK", "", "booked", true);
                            return true;
                        }));
    }

    private void crash(int index, Replica2 replica) throws IOException {
        double now = mRecord.now();
        boolean isLate =
                mCrashedAt.size() >= CRASHES_BEFORE_BOUND
                        && now > mCrashedAt.get(CRASHES_BEFORE_BOUND - 1) + CONTACT_S;
        mCrashedAt.add(now);
        mRecord.add(
                "%s begins the booking and goes dark, crash %d%s",
                replica.id(),
                mCrashedAt.size(),
                isLate ? ", retry " + mLateRetries.incrementAndGet() + " after the bound" : "");
        replica.close();
        Replica2.start("restart", () -> restart(index));
    }

    private void restart(int index) {
        try {
            Thread.sleep(RESTART_MILLIS);
            start(index);
        } catch (Exception e) {
            mRecord.add("a replica didn't come back: %s", e);
        }
    }

    private int run() throws Exception {
        mFleet.planStores(1);
        mFleet.add("store-1", "store", mFleet.ip(1), "a", "", "");
        List<String> entries = List.of(mFleet.ip(11), mFleet.ip(12));
        mFleet.add("entry-1", "entry", entries.get(0), "a", "", "");
        mFleet.add("entry-2", "entry", entries.get(1), "b", "", "");
        for (int i = 0; i < REPLICAS; i++) {
            start(i);
        }
        mFleet.order("/api/config/put", Caller2.configuration(7, "unsafe", 1), 30);
        for (String entry : entries) {
            mFleet.awaitReady(entry, 30);
        }
        Thread.sleep(3_000);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 4; i++) {
            String entry = entries.get(i % 2);
            Replica2.start("caller", () -> call(entry, isOver, sent, served));
        }
        Thread.sleep(3_000);
        for (int i = 0; i < REPEATS; i++) {
            String entry = entries.get(i % 2);
            Replica2.start("booking", () -> book(entry));
            Thread.sleep(REPEAT_MILLIS);
        }
        isOver.set(true);
        mRecord.add(
                "%d of %d other bookings served; %d crashes, %d retries after the bound",
                served.get(), sent.get(), mCrashedAt.size(), mLateRetries.get());
        for (Replica2 replica : mReplicas) {
            replica.close();
        }
        boolean isBroken = mLateRetries.get() > ALLOWED_RETRIES;
        mRecord.add(
                isBroken
                        ? "BUDGET is broken: more than three retries reached replicas later than"
                                + " contact_ms after the third crash"
                        : "the rule held");
        return isBroken ? 1 : 0;
    }

    private void book(String entry) {
        String id = Caller2.newId();
        mRecord.add("the booking is sent to %s as attempt %s", entry, id);
        try {
            int status = Caller2.send(entry, "POST", "/book/x", id, BOOKING, 4_000).status();
            mRecord.add("attempt %s gets %d", id, status);
        } catch (IOException e) {
            mRecord.add("attempt %s gets no answer: %s", id, e);
        }
    }

    private static void call(
            String entry, AtomicBoolean isOver, AtomicInteger sent, AtomicInteger served) {
        while (!isOver.get()) {
            try {
                String body = "order " + sent.incrementAndGet();
                int status =
                        Caller2.send(entry, "POST", "/book/x", Caller2.newId(), body, 4_000)
                                .status();
                served.addAndGet(status == 200 ? 1 : 0);
                Thread.sleep(100);
            } catch (Exception e) {
                // Not served.
            }
        }
    }
}
