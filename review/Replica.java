package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A replica that follows the platform's pages: it registers, answers requests and takes orders. */
class Replica {
    final Lab lab;
    final String ip;
    final String service;
    final String zone;
    final String id;
    volatile long born = System.currentTimeMillis();
    volatile int acknowledgedBeats;
    private volatile boolean mIsEnded;
    private volatile boolean mIsBeating = true;
    private volatile Lab.Daemon mStore;
    private volatile long mSequence;

    Replica(Lab lab, String ip, String service, String zone) {
        this.lab = lab;
        this.ip = ip;
        this.service = service;
        this.zone = zone;
        id = "i-" + ip.replace('.', '-');
    }

    /** A request that a replica has read. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Starts to listen and to send heartbeats. */
    void start() throws IOException {
        ServerSocket server = new ServerSocket(Lab.APP_PORT, 200, InetAddress.getByName(ip));
        daemonThread(
                () -> {
                    while (!mIsEnded) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemonThread(() -> serve(socket));
                    }
                });
    }

    /** Starts to send heartbeats. */
    void register() {
        daemonThread(
                () -> {
                    while (!mIsEnded) {
                        if (mIsBeating) {
                            beat();
                        }
                        Thread.sleep(1_200);
                    }
                });
    }

    /** A task of a thread. */
    interface Task {
        void run() throws Exception;
    }

    static void daemonThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The peer has closed the connection, or the case has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        mSequence++;
        String body =
                "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + Lab.APP_PORT
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots()
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + mSequence
                        + ",\"born\":" + born + extraFields() + "}";
        List<Lab.Daemon> stores = lab.stores();
        int first = Math.floorMod(id.hashCode(), stores.size());
        for (int i = 0; i < stores.size(); i++) {
            Lab.Daemon store = stores.get((first + i) % stores.size());
            String path = "/api/instances/" + id + "/heartbeat";
            if (Lab.http(store.ip, Lab.OPERATORS_PORT, "POST", path, body, 1_000).isOk()) {
                mStore = store;
                acknowledgedBeats++;
                return;
            }
        }
    }

    /** Sends no more heartbeats, as a replica that has deregistered. */
    void stopBeats() {
        mIsBeating = false;
    }

    /** Starts again under the same id; sequence numbers start anew. */
    void restart() {
        born = System.currentTimeMillis();
        mSequence = 0;
        acknowledgedBeats = 0;
        mIsBeating = true;
    }

    /** Returns a store that did not take the last heartbeat. */
    Lab.Daemon anotherStore() {
        Lab.Daemon last = mStore;
        return lab.stores().stream().filter(store -> store != last).findFirst().orElseThrow();
    }

    int slots() {
        return 16;
    }

    /** Returns further fields of heartbeats, each after a comma. */
    String extraFields() {
        return "";
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Request request = read(in);
            while (request != null) {
                String expected = request.header("X-Sequoiahill-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    respond(out, request, 421, "X-Sequoiahill-Not-Executed: 1\r\n", new byte[0]);
                } else {
                    handle(request, out);
                }
                request = read(in);
            }
        }
    }

    /** Handles a request that is meant for this replica. */
    void handle(Request request, OutputStream out) throws IOException {
        respond(out, request, 200, "X-Sequoiahill-Server-Seal: 1.2.3\r\n", "done".getBytes());
    }

    void respond(OutputStream out, Request request, int status, String headers, byte[] body)
            throws IOException {
        String attempt = request.header("X-Sequoiahill-Attempt-Id");
        String head =
                "HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length + "\r\n"
                        + (attempt.isEmpty() ? "" : "X-Sequoiahill-Attempt-Id: " + attempt + "\r\n")
                        + "X-Sequoiahill-Instance-Id: " + id + "\r\n" + headers + "\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** Reads a request; null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            String name = field.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, field.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return new Request(parts[0], parts[1], headers, body);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return next < 0 ? null : line.toString();
    }
}
