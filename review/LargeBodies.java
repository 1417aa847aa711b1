package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** CONFIG: clients send bodies of the size that the configuration allows. */
final class LargeBodies {
    private static final String CONFIG =
            """
            {"version":1,"routes":[{"name":"r","host":"desk.example","path_prefix":"/look/",\
            "kind":"safe","timeout_ms":6000,"target_latency_ms":400,"priority":1,\
            "service":"desk","max_attempts":2,"allow_anonymous":true}],\
            "services":[{"name":"desk","health_path":"/health","max_connections":110}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
            "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}""";

    private static final int LARGE_BYTES = 4_194_304;
    private static final int PARTS = 64;
    private static final int UPLOAD_MILLIS = 4_000;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final int LARGE_CLIENTS = 24;
    private static final int LARGE_CLIENTS_WITHOUT_TROUBLE = 4;
    private static final int SMALL_CLIENTS = 8;

    private volatile boolean mIsEnded;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mOverdue = new AtomicInteger();
    private final AtomicInteger mNotReady = new AtomicInteger();
    private final Set<String> mRun = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) throws Exception {
        int status;
        try (Lab lab = new Lab("zone-a", "zone-b", "zone-c")) {
            try {
                status = new LargeBodies().run(lab);
            } catch (Lab.NotReadyException e) {
                lab.note("the case could not run: " + e.getMessage());
                status = 2;
            }
        }
        Runtime.getRuntime().halt(status);
    }

    private int run(Lab lab) throws Exception {
        lab.startStores();
        Lab.Daemon entry = lab.startEntry("zone-a");
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
            Replica replica = new Desk(lab, zone);
            replica.start();
            replica.register();
        }
        lab.await("leader", 20_000, () -> lab.leader() != null);
        lab.order("POST", "/api/config/put", CONFIG);
        lab.await("ready entry", 20_000, () -> Lab.isReady(entry));
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            Replica.daemonThread(() -> sendSmall(lab, entry));
        }
        lab.await("answer", 20_000, () -> mAnswered.get() > 20);
        Lab.sleep(1_000);
        int clients = Lab.isTrouble() ? LARGE_CLIENTS : LARGE_CLIENTS_WITHOUT_TROUBLE;
        lab.note(clients + " clients send bodies of " + LARGE_BYTES + " bytes");
        for (int i = 0; i < clients; i++) {
            Replica.daemonThread(
                    () -> {
                        while (!mIsEnded) {
                            sendLarge(lab, entry);
                        }
                    });
        }
        for (int i = 0; i < 15; i++) {
            Lab.sleep(1_000);
            boolean isReady = Lab.isReady(entry);
            lab.note("the entry is ready: " + isReady + ", its process runs: " + entry.isAlive());
            if (!isReady) {
                mNotReady.incrementAndGet();
            }
        }
        mIsEnded = true;
        lab.note(
                mOverdue.get() + " of " + mUnanswered.get() + " requests that were unanswered at the"
                        + " route's timeout had no answer half a second later");
        lab.note(mLost.get() + " requests were passed on and their connections ended unanswered");
        for (String line : entry.logText().split("\n")) {
            if (line.contains("OutOfMemory")) {
                lab.note("log: " + line.substring(0, Math.min(200, line.length())));
            }
        }
        return mOverdue.get() >= 8 && 4 * mOverdue.get() > mUnanswered.get() ? 1 : 0;
    }

    /** Sends small requests on a kept connection. */
    private void sendSmall(Lab lab, Lab.Daemon entry) throws Exception {
        while (!mIsEnded) {
            String id = "";
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(entry.ip, Lab.CALLERS_PORT), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(6_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (!mIsEnded) {
                    id = Caller.newId();
                    out.write(
                            ("GET /look/1 HTTP/1.1\r\nHost: desk.example\r\n"
                                            + "X-Sequoiahill-Attempt-Id: " + id + "\r\n"
                                            + "X-Sequoiahill-Deadline-Ms: 6000\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    Caller.Answer answer = Caller.read(in);
                    lab.note("request " + id + " answered " + answer.status());
                    if (answer.status() == 200) {
                        mAnswered.incrementAndGet();
                    }
                    Lab.sleep(50);
                }
            } catch (IOException | RuntimeException e) {
                boolean isRun = mRun.contains(id);
                lab.note("request " + id + " (passed on: " + isRun + ") has no answer: " + e);
                if (isRun) {
                    mLost.incrementAndGet();
                }
                Lab.sleep(100);
            }
        }
    }

    /** Sends a body of the size that the configuration allows, at an even pace. */
    private void sendLarge(Lab lab, Lab.Daemon entry) {
        String id = Caller.newId();
        long start = lab.millis();
        lab.note("request " + id + " with a large body begins");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, Lab.CALLERS_PORT), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(
                    ("POST /look/large HTTP/1.1\r\nHost: desk.example\r\n"
                                    + "X-Sequoiahill-Attempt-Id: " + id + "\r\n"
                                    + "X-Sequoiahill-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n"
                                    + "Content-Length: " + LARGE_BYTES + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            byte[] part = new byte[LARGE_BYTES / PARTS];
            for (int i = 0; i < PARTS; i++) {
                out.write(part);
                Lab.sleep(start + i * UPLOAD_MILLIS / PARTS - lab.millis());
            }
            socket.setSoTimeout((int) Math.max(1, start + DEADLINE_MILLIS - lab.millis()));
            Caller.Answer answer = Caller.read(new BufferedInputStream(socket.getInputStream()));
            long millis = lab.millis() - start;
            lab.note("request " + id + " large answered " + answer.status() + " after " + millis);
            if (millis > TIMEOUT_MILLIS) {
                mUnanswered.incrementAndGet();
            }
            if (millis > TIMEOUT_MILLIS + 500) {
                mOverdue.incrementAndGet();
            }
        } catch (IOException | RuntimeException | InterruptedException e) {
            long millis = lab.millis() - start;
            lab.note("request " + id + " large has no answer after " + millis + ": " + e);
            if (millis > TIMEOUT_MILLIS + 500) {
                mUnanswered.incrementAndGet();
                mOverdue.incrementAndGet();
            }
        }
    }

    private final class Desk extends Replica {
        Desk(Lab lab, String zone) {
            super(lab, lab.newIp(), "desk", zone);
        }

        @Override
        void handle(Request request, OutputStream out) throws IOException {
            String id = request.header("X-Sequoiahill-Attempt-Id");
            mRun.add(id);
            lab.note("request " + id + " with " + request.body().length + " bytes runs in " + zone);
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            super.handle(request, out);
        }
    }
}
