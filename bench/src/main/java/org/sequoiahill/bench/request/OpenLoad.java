package org.sequoiahill.bench.request;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.sequoiahill.bench.processes.Deployment;
import org.tinylog.Logger;

/** Sends requests at a fixed rate, whatever becomes of them, and counts by second. */
final class OpenLoad implements AutoCloseable {
    private static final int MAX_SECONDS = 600;
    private static final long MAX_MICROS = 120_000_000;
    private static final int MAX_CONNECTIONS = 4_096;

    private final HttpClient mClient;
    private final ScheduledExecutorService mScheduler;
    private final long mStart = System.nanoTime();

    private OpenLoad(HttpClient client) {
        mClient = client;
        mScheduler = Executors.newScheduledThreadPool(2);
    }

    static OpenLoad create() throws Exception {
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
        client.start();
        return new OpenLoad(client);
    }

    /**
     * A stream of requests.
     *
     * @param urls addresses that are asked in turn
     * @param token bearer token
     * @param perSecond requests a second
     * @param tokens tokens of an answer
     * @param deadline time that a request is given
     */
    record Stream(
            List<String> urls, String token, double perSecond, int tokens, Duration deadline) {}

    /** What became of a stream's requests. */
    static final class Counts {
        final AtomicInteger mSent = new AtomicInteger();
        final AtomicInteger mAnswered = new AtomicInteger();
        final AtomicInteger mLate = new AtomicInteger();
        final AtomicInteger mRefused = new AtomicInteger();
        final AtomicInteger mUnknown = new AtomicInteger();
        final AtomicInteger mLost = new AtomicInteger();
        final AtomicIntegerArray mGoodBySecond = new AtomicIntegerArray(MAX_SECONDS);
        final Histogram mFirstByte = new ConcurrentHistogram(MAX_MICROS, 3);
        final Histogram mWhole = new ConcurrentHistogram(MAX_MICROS, 3);
        final Histogram mRefusal = new ConcurrentHistogram(MAX_MICROS, 3);

        double firstByteMillis(double percentile) {
            return mFirstByte.getValueAtPercentile(percentile) / 1_000.0;
        }

        double wholeMillis(double percentile) {
            return mWhole.getValueAtPercentile(percentile) / 1_000.0;
        }

        /** Returns the fewest answers within their deadline in one second of a span. */
        int worstSecond(int from, int to) {
            int worst = Integer.MAX_VALUE;
            for (int i = from; i < to; i++) {
                worst = Math.min(worst, mGoodBySecond.get(i));
            }
            return worst;
        }

        int good(int from, int to) {
            int sum = 0;
            for (int i = from; i < to; i++) {
                sum += mGoodBySecond.get(i);
            }
            return sum;
        }

        String describe() {
            return "sent=%d answered=%d late=%d refused=%d unknown=%d lost=%d"
                    .formatted(
                            mSent.get(),
                            mAnswered.get(),
                            mLate.get(),
                            mRefused.get(),
                            mUnknown.get(),
                            mLost.get());
        }
    }

    /** Returns whole seconds since the load was created. */
    int second() {
        return (int) TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - mStart);
    }

    /** Sends a stream for a time; returns at once. */
    Counts start(Stream stream, Duration time) {
        Counts counts = new Counts();
        long interval = (long) (1e9 / stream.perSecond());
        long end = System.nanoTime() + time.toNanos();
        mScheduler.scheduleAtFixedRate(
                () -> {
                    if (System.nanoTime() < end) {
                        send(stream, counts);
                    }
                },
                0,
                interval,
                TimeUnit.NANOSECONDS);
        return counts;
    }

    private void send(Stream stream, Counts counts) {
        int n = counts.mSent.getAndIncrement();
        long start = System.nanoTime();
        String body = "{\"max_tokens\": " + stream.tokens() + ", \"n\": " + n + "}";
        mClient.POST(stream.urls().get(n % stream.urls().size()))
                .headers(
                        headers -> {
                            headers.put(HttpHeader.AUTHORIZATION, "Bearer " + stream.token());
                            headers.put(
                                    "Sequoia-Deadline-Millis",
                                    Long.toString(stream.deadline().toMillis()));
                        })
                .timeout(stream.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
                .body(new StringRequestContent("application/json", body))
                .onResponseBegin(
                        response -> {
                            if (response.getStatus() == 200) {
                                counts.mFirstByte.recordValue(micros(start));
                            }
                        })
                .send(result -> judge(result, start, stream, counts));
    }

    private void judge(Result result, long start, Stream stream, Counts counts) {
        if (result.isFailed()) {
            counts.mLost.incrementAndGet();
            return;
        }
        if (result.getResponse().getStatus() != 200) {
            counts.mRefusal.recordValue(micros(start));
            boolean isNotRun = result.getResponse().getHeaders().contains("Sequoia-Not-Run");
            (isNotRun ? counts.mRefused : counts.mUnknown).incrementAndGet();
            return;
        }
        counts.mWhole.recordValue(micros(start));
        if (micros(start) > TimeUnit.MILLISECONDS.toMicros(stream.deadline().toMillis())) {
            counts.mLate.incrementAndGet();
            return;
        }
        counts.mAnswered.incrementAndGet();
        counts.mGoodBySecond.incrementAndGet(Math.min(second(), MAX_SECONDS - 1));
    }

    private static long micros(long start) {
        return Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
    }

    @Override
    public void close() {
        mScheduler.shutdownNow();
        try {
            mClient.stop();
        } catch (Exception e) {
            Logger.warn(e, "a client did not stop");
        }
    }

    /** Returns the URLs of a route at entries. */
    static List<String> urls(List<String> entries, String route) {
        return entries.stream()
                .map(entry -> "http://" + entry + "/services/" + Scene.SERVICE + route)
                .toList();
    }

    /** Returns the stream of one priority at entries. */
    static Stream stream(
            List<String> entries,
            String priority,
            double perSecond,
            int tokens,
            Duration deadline) {
        return new Stream(
                urls(entries, "/v1/" + priority),
                Deployment.CALLER_TOKEN,
                perSecond,
                tokens,
                deadline);
    }
}
