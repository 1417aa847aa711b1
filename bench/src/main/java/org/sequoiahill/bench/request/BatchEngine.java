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
 * An engine that works on a batch of requests at once and lets the others wait; while cold it is
 * slow, and falls over when it holds more than it then bears.
 */
final class BatchEngine extends Handler.Abstract {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private final String mAddress;
    private final Shape mShape;
    private final ScheduledExecutorService mScheduler;
    private final Deque<Runnable> mWaiting = new ArrayDeque<>();
    private final AtomicLong mLastArrivalNanos = new AtomicLong();
    private final AtomicInteger mArrivals = new AtomicInteger();
    private final AtomicInteger mFalls = new AtomicInteger();
    private Server mServer = new Server();
    private int mWorking;
    private int mColdLeft;

    private BatchEngine(String address, Shape shape, ScheduledExecutorService scheduler) {
        mAddress = address;
        mShape = shape;
        mScheduler = scheduler;
        mColdLeft = shape.coldAnswers();
    }

    /**
     * What an engine bears.
     *
     * @param batch requests that it works on at once
     * @param tokenMillis time between two tokens
     * @param coldAnswers answers after a start until it is warm
     * @param coldFactor how much slower it is while cold
     * @param coldBears requests that it holds while cold without falling over
     * @param restartMillis time that it is down once it has fallen over
     */
    record Shape(
            int batch,
            int tokenMillis,
            int coldAnswers,
            int coldFactor,
            int coldBears,
            int restartMillis) {}

    static BatchEngine start(String address, Shape shape, ScheduledExecutorService scheduler)
            throws Exception {
        BatchEngine engine = new BatchEngine(address, shape, scheduler);
        engine.listen();
        return engine;
    }

    /** Returns the time of the last request, by the monotonic clock. */
    long lastArrivalNanos() {
        return mLastArrivalNanos.get();
    }

    /** Returns the requests that came. */
    int arrivals() {
        return mArrivals.get();
    }

    /** Returns how often the engine fell over. */
    int falls() {
        return mFalls.get();
    }

    /** Turns a warm engine cold, without notice to anybody. */
    synchronized void turnCold() {
        mColdLeft = mShape.coldAnswers();
    }

    /** Ends the engine for good. */
    synchronized void end() {
        try {
            mServer.stop();
        } catch (Exception e) {
            Logger.warn(e, "an engine did not stop");
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
                    int generation = mFalls.get();
                    Callback ended = Callback.from(callback, () -> endOne(generation));
                    next(response, tokens, mShape.tokenMillis() * factor, ended);
                });
        return true;
    }

    private interface Work {
        void start(int factor);
    }

    private void submit(Work work) {
        int factor;
        synchronized (this) {
            boolean isCold = mColdLeft > 0;
            if (isCold && mWorking + mWaiting.size() >= mShape.coldBears()) {
                mScheduler.execute(this::fallOver);
            }
            if (mWorking >= mShape.batch()) {
                mWaiting.add(() -> submit(work));
                return;
            }
            mWorking++;
            factor = isCold ? mShape.coldFactor() : 1;
        }
        work.start(factor);
    }

    private void endOne(int generation) {
        Runnable next;
        synchronized (this) {
            if (generation != mFalls.get()) {
                return;
            }
            mWorking--;
            mColdLeft = Math.max(0, mColdLeft - 1);
            next = mWaiting.poll();
        }
        if (next != null) {
            next.run();
        }
    }

    private void next(Response response, int tokens, int millis, Callback callback) {
        mScheduler.schedule(
                () -> {
                    byte[] event = "data: token\n\n".getBytes(StandardCharsets.UTF_8);
                    boolean isLast = tokens <= 1;
                    Callback then =
                            isLast
                                    ? callback
                                    : Callback.from(
                                            () -> next(response, tokens - 1, millis, callback),
                                            callback::failed);
                    response.write(isLast, ByteBuffer.wrap(event), then);
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private synchronized String state() {
        return MAPPER.createObjectNode()
                .put("running", mWorking)
                .put("waiting", mWaiting.size())
                .toString();
    }

    /** Drops everything and is away for the time of a restart. */
    private void fallOver() {
        synchronized (this) {
            if (!mServer.isRunning()) {
                return;
            }
            mFalls.incrementAndGet();
            try {
                mServer.stop();
            } catch (Exception e) {
                Logger.warn(e, "an engine did not stop");
            }
            mWaiting.clear();
            mWorking = 0;
            mColdLeft = mShape.coldAnswers();
        }
        mScheduler.schedule(this::listenAgain, mShape.restartMillis(), TimeUnit.MILLISECONDS);
    }

    private void listenAgain() {
        try {
            listen();
        } catch (Exception e) {
            Logger.warn(e, "an engine did not start again");
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
