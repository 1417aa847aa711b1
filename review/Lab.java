package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment of the project's daemons on loopback addresses: starts them with the commands
 * of the deploy file, sends them signals and ends them. Writes the record of a case.
 */
final class Lab implements AutoCloseable {
    static final int CONTROL_PORT = 7700;
    static final int METRICS_PORT = 7715;
    static final int OPERATORS_PORT = 8000;
    static final int APP_PORT = 8001;
    static final int READY_PORT = 8002;
    static final int CALLERS_PORT = 8005;

    private final Path mRoot = Path.of(System.getProperty("review.root"));
    private final Path mFolder;
    private final PrintWriter mRecord;
    private final String mNetwork;
    private final Map<String, String> mRegions = new LinkedHashMap<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<Daemon> mStores = new ArrayList<>();
    private final long mStart = System.nanoTime();
    private final Process mSignalShell =
            new ProcessBuilder("bash", "-c", "while read s p; do kill -$s $p; done").start();
    private int mNextHost = 1;

    /** Opens a deployment whose data centres are named by {@code zones}, one region for each. */
    Lab(String... zones) throws IOException {
        mFolder = Files.createTempDirectory("review");
        Path record = Path.of(System.getProperty("review.record"));
        mRecord = new PrintWriter(Files.newBufferedWriter(record));
        mNetwork = freeNetwork();
        for (String zone : zones) {
            mRegions.put(zone, "region-" + zone);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** One process of the project. */
    final class Daemon {
        final String ip;
        final String role;
        final String zone;
        final Path log;
        private final Path mSettings;
        private Process mProcess;
        private boolean mMayFound = true;

        Daemon(String ip, String role, String zone) {
            this.ip = ip;
            this.role = role;
            this.zone = zone;
            log = mFolder.resolve(role + "-" + ip + ".log");
            mSettings = mFolder.resolve(role + "-" + ip + ".json");
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            Files.writeString(mSettings, settings(this, mMayFound));
            mMayFound = false;
            List<String> command = new ArrayList<>(List.of(runLine(role).split(" +")));
            command.add(mSettings.toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(mRoot.toFile());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            mProcess = builder.start();
        }

        void signal(String name) throws Exception {
            note("SIG" + name + " to the " + role + " at " + ip);
            signalQuietly(name);
        }

        private void signalQuietly(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        }

        /** Sends a signal through a shell that runs already, which takes far less time. */
        void signalFast(String name) throws IOException {
            synchronized (mSignalShell) {
                OutputStream out = mSignalShell.getOutputStream();
                out.write((name + " " + mProcess.pid() + "\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
            note("SIG" + name + " to the " + role + " at " + ip);
        }

        boolean isAlive() {
            return mProcess.isAlive();
        }

        void awaitEnd() throws InterruptedException {
            mProcess.waitFor(10, TimeUnit.SECONDS);
        }

        String logText() throws IOException {
            return Files.readString(log, StandardCharsets.ISO_8859_1);
        }
    }

    /** Response of a daemon; status 0 if there was none in time. */
    record Reply(int status, String body) {
        boolean isOk() {
            return status >= 200 && status < 300;
        }
    }

    String newIp() {
        return mNetwork + mNextHost++;
    }

    /** Starts one store in each data centre. */
    void startStores() throws IOException {
        for (String zone : mRegions.keySet()) {
            mStores.add(new Daemon(newIp(), "store", zone));
        }
        for (Daemon store : mStores) {
            mDaemons.add(store);
            store.start();
        }
    }

    Daemon startEntry(String zone) throws IOException {
        return startDaemon(new Daemon(newIp(), "entry", zone));
    }

    /** Starts the agent of the engine that listens at the same address. */
    Daemon startAgent(String ip, String zone) throws IOException {
        return startDaemon(new Daemon(ip, "agent", zone));
    }

    private Daemon startDaemon(Daemon daemon) throws IOException {
        mDaemons.add(daemon);
        daemon.start();
        return daemon;
    }

    List<Daemon> stores() {
        return mStores;
    }

    List<Daemon> daemons() {
        return mDaemons;
    }

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    /** Writes a line to the record, with the time since the start in milliseconds. */
    void note(String line) {
        synchronized (mRecord) {
            mRecord.printf("%8d  %s%n", millis(), line);
            mRecord.flush();
        }
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    /** Returns whether the disruption is to be made. */
    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Signals that the deployment did not get ready, so that the case could not run. */
    static final class NotReadyException extends RuntimeException {
        private static final long serialVersionUID = 1;

        NotReadyException(String message) {
            super(message);
        }
    }

    /** Waits until a condition holds. */
    void await(String what, long maxMillis, Condition condition) throws Exception {
        long end = millis() + maxMillis;
        while (!condition.holds()) {
            if (millis() > end) {
                throw new NotReadyException("no " + what + " after " + maxMillis + " ms");
            }
            sleep(50);
        }
    }

    /** A condition to wait for. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Returns the store that leads, according to the logs of all stores. */
    Daemon leader() throws IOException {
        Daemon leader = null;
        long highest = -1;
        for (Daemon store : mStores) {
            for (String line : store.logText().split("\n")) {
                int role = line.indexOf("role LEADER in term ");
                if (role >= 0) {
                    long term = Long.parseLong(line.substring(role + 20).split("[^0-9]")[0]);
                    if (term > highest) {
                        highest = term;
                        leader = store;
                    }
                }
            }
        }
        return leader;
    }

    /**
     * Makes a call of the operator at one store, on a new connection; gives up after a second
     * without a response.
     */
    Reply callOnce(Daemon store, String method, String path, String body) {
        Reply reply = http(store.ip, OPERATORS_PORT, method, path, body, 1_000);
        note(method + " " + path + " at the store " + store.ip + ": " + reply.status());
        return reply;
    }

    /** Makes a call of the operator at one store after the other until it is acknowledged. */
    void order(String method, String path, String body, Daemon... first) throws Exception {
        List<Daemon> order = new ArrayList<>(List.of(first));
        mStores.stream().filter(store -> !order.contains(store)).forEach(order::add);
        long backoff = 100;
        long end = millis() + 15_000;
        for (int i = 0; millis() < end; i++) {
            if (callOnce(order.get(i % order.size()), method, path, body).isOk()) {
                return;
            }
            sleep(backoff);
            backoff = Math.min(800, backoff * 2);
        }
        throw new NotReadyException("no acknowledgement of " + path);
    }

    static Reply http(
            String ip, int port, String method, String path, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\n"
                            + "Connection: close\r\nContent-Type: application/json\r\n"
                            + "Content-Length: " + bytes.length + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write((head + body).getBytes(StandardCharsets.UTF_8));
            out.flush();
            String text = readAll(socket.getInputStream());
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return new Reply(0, "");
            }
            return new Reply(Integer.parseInt(text.split(" ")[1]), text.substring(end + 4));
        } catch (IOException | RuntimeException e) {
            return new Reply(0, String.valueOf(e));
        }
    }

    private static String readAll(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Returns whether an entry says that it is ready. */
    static boolean isReady(Daemon entry) {
        return http(entry.ip, READY_PORT, "GET", "/api/ready", "", 1_000).status() == 200;
    }

    private String settings(Daemon daemon, boolean mayFound) {
        StringBuilder seeds = new StringBuilder();
        for (Daemon store : mStores) {
            seeds.append(seeds.length() == 0 ? "" : ",");
            seeds.append('"').append(store.ip).append(':').append(OPERATORS_PORT).append('"');
        }
        StringBuilder regions = new StringBuilder();
        mRegions.forEach(
                (zone, region) ->
                        regions.append(regions.length() == 0 ? "" : ",")
                                .append('"' + zone + "\":\"" + region + '"'));
        return "{\"vm\":\"IP\",\"name\":\"NAME\",\"role\":\"ROLE\",\"dataCentre\":\"ZONE\","
                        .replace("IP", daemon.ip)
                        .replace("NAME", daemon.role + "-" + daemon.zone)
                        .replace("ROLE", daemon.role)
                        .replace("ZONE", daemon.zone)
                + "\"regions\":{" + regions + "},"
                + address("control", daemon, CONTROL_PORT)
                + address("metrics", daemon, METRICS_PORT)
                + (daemon.role.equals("entry") ? address("callers", daemon, CALLERS_PORT) : "")
                + (daemon.role.equals("entry") ? address("ready", daemon, READY_PORT) : "")
                + (daemon.role.equals("store") ? address("operators", daemon, OPERATORS_PORT) : "")
                + (daemon.role.equals("agent") ? address("engine", daemon, APP_PORT) : "")
                + (daemon.role.equals("agent") ? "\"service\":\"writer\"," : "")
                + (daemon.role.equals("store")
                        ? "\"dataFolder\":\"" + mFolder.resolve("data-" + daemon.ip) + "\","
                        : "")
                + "\"seeds\":[" + seeds + "],\"seedPort\":" + CONTROL_PORT + ","
                + "\"mayFound\":" + mayFound + ",\"bounds\":{\"heartbeatMillis\":1200,"
                + "\"lostStores\":1,\"repeatRatio\":0.2,\"repeatWindowSeconds\":10,"
                + "\"repeatSlack\":102,\"versionMillis\":8000,\"drainSeconds\":8}}\n";
    }

    private static String address(String key, Daemon daemon, int port) {
        return "\"" + key + "\":\"" + daemon.ip + ":" + port + "\",";
    }

    /** Returns the command of a role in the deploy file. */
    private String runLine(String role) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                isInRole = line.equals("[roles." + role + "]");
            } else if (isInRole && line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new NotReadyException("the deploy file has no role " + role);
    }

    /** Returns the first three numbers of loopback addresses at which nothing listens. */
    private static String freeNetwork() throws IOException {
        for (int i = 0; i < 50; i++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String network = "127." + random.nextInt(20, 250) + "." + random.nextInt(250) + ".";
            InetAddress address = InetAddress.getByName(network + "1");
            try (ServerSocket probe = new ServerSocket(OPERATORS_PORT, 1, address)) {
                probe.getLocalPort();
                return network;
            } catch (IOException e) {
                // In use; the next network is tried.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private void endProcesses() {
        mSignalShell.destroyForcibly();
        for (Daemon daemon : mDaemons) {
            try {
                if (daemon.isAlive()) {
                    daemon.signalQuietly("CONT");
                    daemon.mProcess.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
                }
            } catch (Exception e) {
                System.err.println("can't end a process: " + e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        mRecord.flush();
        if (System.getenv("KEEP") != null) {
            System.err.println("the logs are kept in " + mFolder);
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
