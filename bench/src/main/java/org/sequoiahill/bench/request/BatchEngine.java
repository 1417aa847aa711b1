package org.sequoiahill.bench.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.tinylog.Logger;

/**
 * An engine that processes a batch of requests at once and queues the others. While cold it is
 * slow, and crashes when a request arrives and it already holds its maximum for a cold engine.
 */
final class BatchEngine extends Handler.Abstract {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private final String mAddress;
    private final Parameters mParameters;
    private final ScheduledExecutorService mScheduler;
    private final Deque<Runnable> mWaiting = new ArrayDeque<>();
    private final AtomicLong mLastArrivalNanos = new AtomicLong();
    private final AtomicInteger mArrivals = new AtomicInteger();
    private final AtomicInteger mCrashes = new AtomicInteger();
    private Server mServer = new Server();
    private int mRunning;
    private int mColdResponsesLeft;

    private BatchEngine(String address, Parameters parameters, ScheduledExecutorService scheduler) {
        mAddress = address;
        mParameters = parameters;
        mScheduler = scheduler;
        mColdResponsesLeft = parameters.coldResponses();
    }

    /**
     * Speed and limits of an engine.
     *
     * @param batch requests that it processes at once
     * @param tokenMillis time between two tokens while warm
     * @param coldResponses responses after a start until it is warm
     * @param coldFactor factor by which it is slower while cold
     * @param maxColdRequests requests that it can hold while cold; one more crashes it
     * @param restartMillis time that it is down after a crash
     */
    record Parameters(
            int batch,
            int tokenMillis,
            int coldResponses,
            int coldFactor,
            int maxColdRequests,
            int restartMillis) {}

    static BatchEngine start(
            String address, Parameters parameters, ScheduledExecutorService scheduler)
            throws Exception {
        BatchEngine engine = new BatchEngine(address, parameters, scheduler);
        engine.listen();
        return engine;
    }

    /** Returns the arrival time of the last request, by {@link System#nanoTime}. */
    long lastArrivalNanos() {
        return mLastArrivalNanos.get();
    }

    /** Returns the number of requests received. */
    int arrivals() {
        return mArrivals.get();
    }

    /** Returns the number of crashes. */
    int crashes() {
        return mCrashes.get();
    }

    /** Makes a warm engine cold without announcing it. */
    synchronized void turnCold() {
        mColdResponsesLeft = mParameters.coldResponses();
    }

    /** Stops the engine permanently. */
    synchronized void shutDown() {
        try {
            mServer.stop();
        } catch (Exception e) {
            Logger.warn(e, "cannot stop an engine");
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (Request.getPathInContext(request).equals("/admin/state")) {
            write(response, state(), callback);
            return true;
        }
        mLastArrivalNanos.set(System.nanoTime());
        mArrivals.incrementAndGet();
        JsonNode body = MAPPER.readTree(Content.Source.asInputStream(request));
        int tokens = body.path("max_tokens").asInt(1);
        submit(
                factor -> {
                    int generation = mCrashes.get();
                    Callback completion = Callback.from(callback, () -> completeOne(generation));
                    writeTokens(response, tokens, mParameters.tokenMillis() * factor, completion);
                });
        return true;
    }

    private interface Work {
        void start(int factor);
    }

    private void submit(Work work) {
        int factor;
        synchronized (this) {
            boolean isCold = mColdResponsesLeft > 0;
            if (isCold && mRunning + mWaiting.size() >= mParameters.maxColdRequests()) {
                mScheduler.execute(this::crash);
            }
            if (mRunning >= mParameters.batch()) {
                mWaiting.add(() -> submit(work));
                return;
            }
            mRunning++;
            factor = isCold ? mParameters.coldFactor() : 1;
        }
        work.start(factor);
    }

    private void completeOne(int generation) {
        Runnable next;
        synchronized (this) {
            if (generation != mCrashes.get()) {
                return;
            }
            mRunning--;
            mColdResponsesLeft = Math.max(0, mColdResponsesLeft - 1);
            next = mWaiting.poll();
        }
        if (next != null) {
            next.run();
        }
    }

    private void writeTokens(Response response, int tokens, int millis, Callback callback) {
        mScheduler.schedule(
                () -> {
                    byte[] event = "data: token\n\n".getBytes(StandardCharsets.UTF_8);
                    boolean isLast = tokens <= 1;
                    Callback afterEvent =
                            isLast
                                    ? callback
                                    : Callback.from(
                                            () ->
                                                    writeTokens(
                                                            response, tokens - 1, millis, callback),
                                            callback::failed);
                    response.write(isLast, ByteBuffer.wrap(event), afterEvent);
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private synchronized String state() {
        return MAPPER.createObjectNode()
                .put("running", mRunning)
                .put("waiting", mWaiting.size())
                .toString();
    }

    /** Drops all requests and goes down for the time of a restart. */
    private void crash() {
        synchronized (this) {
            if (!mServer.isRunning()) {
                return;
            }
            mCrashes.incrementAndGet();
            try {
                mServer.stop();
            } catch (Exception e) {
                Logger.warn(e, "cannot stop an engine");
            }
            mWaiting.clear();
            mRunning = 0;
            mColdResponsesLeft = mParameters.coldResponses();
        }
        mScheduler.schedule(this::restart, mParameters.restartMillis(), TimeUnit.MILLISECONDS);
    }

    private void restart() {
        try {
            listen();
        } catch (Exception e) {
            Logger.warn(e, "cannot restart an engine");
        }
    }

    private synchronized void listen() throws Exception {
        mServer = new Server();
        ServerConnector connector = new ServerConnector(mServer, 1, 1);
        int colon = mAddress.lastIndexOf(':');
        connector.setHost(mAddress.substring(0, colon));
        connector.setPort(Integer.parseInt(mAddress.substring(colon + 1)));
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        mServer.addConnector(connector);
        mServer.setHandler(new Handler.Wrapper(this));
        mServer.start();
    }

    private static void write(Response response, String text, Callback callback) {
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
