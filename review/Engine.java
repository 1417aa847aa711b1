package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.TreeSet;

/** A model replica: holds staged pieces, loads them when ordered, and answers with events. */
class Engine extends Replica {
    private static final long WARM_MILLIS = 300;

    /** A piece that turned bad so recently before it is loaded breaks no rule. */
    private static final long EXCUSED_MILLIS = 3_000;

    private final byte[][] mStaged = new byte[Weights.CHUNKS][];
    private final long[] mBadSince = new long[Weights.CHUNKS];
    private final TreeSet<Integer> mPutPieces = new TreeSet<>();
    private volatile long mVersion = 1;
    private volatile boolean mIsLoading;
    private volatile String mFault = "";
    private int mSequence;
    private int mActive;

    Engine(Lab lab, String ip, String zone) {
        super(lab, ip, "writer", zone);
        for (int i = 0; i < Weights.CHUNKS; i++) {
            mStaged[i] = Weights.piece(1, i);
        }
    }

    long version() {
        return mVersion;
    }

    /** Returns how many pieces have been staged since the last load. */
    synchronized int putPieces() {
        return mPutPieces.size();
    }

    /** Spoils a staged piece. */
    synchronized void spoil(int number) {
        mStaged[number] = mStaged[number].clone();
        mStaged[number][7] ^= 0x55;
        mBadSince[number] = lab.millis();
        lab.note("piece " + number + " turns bad at the engine " + ip);
    }

    /** Called when a staged piece has been sent to the agent. */
    void onStagedRead(int number) throws IOException {}

    /** Called when a request has been answered with tokens. */
    void onTokens(String id, String fault) {}

    @Override
    String extraFields() {
        return ",\"stage\":\"combined\"," + models();
    }

    private String models() {
        return "\"models\":[{\"name\":\"daka\",\"version\":" + mVersion + ",\"adapters\":[]}]";
    }

    @Override
    void handle(Request request, OutputStream out) throws IOException {
        String path = request.target().split("\\?")[0];
        if (path.equals("/api/report")) {
            String report =
                    "{\"stage\":\"combined\"," + models() + ",\"busy\":" + mIsLoading
                            + ",\"sequence\":" + mSequence + ",\"queued\":0,\"active\":" + mActive
                            + ",\"kv_used\":0,\"kv_total\":685000,\"handles\":0,\"pace\":1.0}";
            respond(out, request, 200, "", report.getBytes());
        } else if (path.startsWith("/api/stage-put/")) {
            put((int) Weights.parameter(request.target(), "sample_count"), request.body());
            respond(out, request, 200, "", new byte[0]);
        } else if (path.startsWith("/api/stage-get/")) {
            int number = (int) Weights.parameter(request.target(), "sample_count");
            respond(out, request, 200, "", staged(number));
            onStagedRead(number);
        } else if (path.equals("/api/order")) {
            order(new String(request.body()));
            respond(out, request, 202, "", new byte[0]);
        } else {
            answer(request, out);
        }
    }

    private synchronized void put(int number, byte[] piece) {
        mStaged[number] = piece;
        mBadSince[number] = 0;
        mPutPieces.add(number);
    }

    private synchronized void forgetPutPieces() {
        mPutPieces.clear();
    }

    private synchronized byte[] staged(int number) {
        return mStaged[number];
    }

    private void order(String body) {
        long version = Long.parseLong(body.replaceAll(".*\"version\":([0-9]+).*", "$1"));
        mFault = faultOfStaged(version);
        forgetPutPieces();
        lab.note("engine " + ip + " is ordered to load version " + version + " " + mFault);
        mSequence++;
        mIsLoading = true;
        daemonThread(
                () -> {
                    Thread.sleep(WARM_MILLIS);
                    mVersion = version;
                    mIsLoading = false;
                });
    }

    /** Returns what is wrong with the staged pieces beyond what is excused, else nothing. */
    private synchronized String faultOfStaged(long version) {
        StringBuilder fault = new StringBuilder();
        for (int i = 0; i < Weights.CHUNKS; i++) {
            long age = mBadSince[i] == 0 ? Long.MAX_VALUE : lab.millis() - mBadSince[i];
            boolean isIntact = Arrays.equals(mStaged[i], Weights.piece(version, i));
            if (!isIntact && age > EXCUSED_MILLIS) {
                fault.append("piece ").append(i).append(" is not of this version or bad for ");
                fault.append(age).append(" ms; ");
            }
        }
        return fault.toString();
    }

    private void answer(Request request, OutputStream out) throws IOException {
        String id = request.header("X-Sequoiahill-Attempt-Id");
        String expected = request.header("X-Sequoiahill-Expect-Version");
        if (!expected.isEmpty() && Long.parseLong(expected) != mVersion) {
            respond(out, request, 421, "X-Sequoiahill-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        if (mIsLoading) {
            respond(out, request, 503, "X-Sequoiahill-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        String fault = mFault;
        lab.note("request " + id + " makes tokens at " + ip + " with version " + mVersion);
        onTokens(id, fault);
        String headers =
                "Content-Type: text/event-stream\r\nX-Sequoiahill-Server-Seal: 1.2.3\r\n"
                        + "X-Sequoiahill-Weight-Versions: " + mVersion + "\r\n";
        respond(out, request, 200, headers, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".getBytes());
    }
}
