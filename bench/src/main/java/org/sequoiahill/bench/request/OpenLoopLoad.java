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

/**
 * Sends requests at a fixed rate, independent of responses, and counts the outcomes; responses on
 * time are also counted by second.
 */
final class OpenLoopLoad implements AutoCloseable {
    private static final int MAX_SECONDS = 600;
    private static final long MAX_MICROS = 120_000_000;
    private static final int MAX_CONNECTIONS = 4_096;

    private final HttpClient mClient;
    private final ScheduledExecutorService mScheduler;
    private final long mStart = System.nanoTime();

    private OpenLoopLoad(HttpClient client) {
        mClient = client;
        mScheduler = Executors.newScheduledThreadPool(2);
    }

    static OpenLoopLoad create() throws Exception {
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
        client.start();
        return new OpenLoopLoad(client);
    }

    /**
     * A stream of requests.
     *
     * @param urls URLs that receive the requests in turn
     * @param token bearer token
     * @param perSecond requests per second
     * @param tokens tokens of a response
     * @param deadline deadline of each request, from its start
     */
    record RequestStream(
            List<String> urls, String token, double perSecond, int tokens, Duration deadline) {}

    /**
     * Outcomes of a stream's requests; times are in microseconds.
     *
     * <p>A response with status 200 counts as answered if it is complete by the deadline, otherwise
     * as late. Any other response counts as refused if it says that the request has not run,
     * otherwise as unknown. A request without a complete response is lost.
     */
    static final class Counts {
        final AtomicInteger mSent = new AtomicInteger();
        final AtomicInteger mAnswered = new AtomicInteger();
        final AtomicInteger mLate = new AtomicInteger();
        final AtomicInteger mRefused = new AtomicInteger();
        final AtomicInteger mUnknown = new AtomicInteger();
        final AtomicInteger mLost = new AtomicInteger();
        final AtomicIntegerArray mOnTimeBySecond = new AtomicIntegerArray(MAX_SECONDS);
        final Histogram mFirstByte = new ConcurrentHistogram(MAX_MICROS, 3);
        final Histogram mResponse = new ConcurrentHistogram(MAX_MICROS, 3);
        final Histogram mErrorResponse = new ConcurrentHistogram(MAX_MICROS, 3);

        double firstByteMillis(double percentile) {
            return mFirstByte.getValueAtPercentile(percentile) / 1_000.0;
        }

        double responseMillis(double percentile) {
            return mResponse.getValueAtPercentile(percentile) / 1_000.0;
        }

        /**
         * Returns the fewest on-time responses in any second from {@code from} until {@code to}.
         */
        int fewestOnTimePerSecond(int from, int to) {
            int fewest = Integer.MAX_VALUE;
            for (int i = from; i < to; i++) {
                fewest = Math.min(fewest, mOnTimeBySecond.get(i));
            }
            return fewest;
        }

        int onTime(int from, int to) {
            int sum = 0;
            for (int i = from; i < to; i++) {
                sum += mOnTimeBySecond.get(i);
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

    /** Returns the full seconds since the load was created. */
    int elapsedSeconds() {
        return (int) TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - mStart);
    }

    /** Starts sending a stream for a time; returns immediately. */
    Counts start(RequestStream stream, Duration time) {
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

    private void send(RequestStream stream, Counts counts) {
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
                .send(result -> recordResult(result, start, stream, counts));
    }

    private void recordResult(Result result, long start, RequestStream stream, Counts counts) {
        if (result.isFailed()) {
            counts.mLost.incrementAndGet();
            return;
        }
        if (result.getResponse().getStatus() != 200) {
            counts.mErrorResponse.recordValue(micros(start));
            boolean isNotRun = result.getResponse().getHeaders().contains("Sequoia-Not-Run");
            (isNotRun ? counts.mRefused : counts.mUnknown).incrementAndGet();
            return;
        }
        counts.mResponse.recordValue(micros(start));
        if (micros(start) > TimeUnit.MILLISECONDS.toMicros(stream.deadline().toMillis())) {
            counts.mLate.incrementAndGet();
            return;
        }
        counts.mAnswered.incrementAndGet();
        counts.mOnTimeBySecond.incrementAndGet(Math.min(elapsedSeconds(), MAX_SECONDS - 1));
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
            Logger.warn(e, "cannot stop a client");
        }
    }

    /** Returns the URLs of a route at the given entries. */
    static List<String> urls(List<String> entries, String route) {
        return entries.stream()
                .map(entry -> "http://" + entry + "/services/" + RequestTestbed.SERVICE + route)
                .toList();
    }

    /** Returns a stream of one priority, sent to the given entries. */
    static RequestStream stream(
            List<String> entries,
            String priority,
            double perSecond,
            int tokens,
            Duration deadline) {
        return new RequestStream(
                urls(entries, "/v1/" + priority),
                Deployment.CALLER_TOKEN,
                perSecond,
                tokens,
                deadline);
    }
}
