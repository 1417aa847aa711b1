package org.sequoiahill.daemon.request.stream;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.daemon.connection.EventStreamSource;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.daemon.request.Attempt;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Outcome;
import org.sequoiahill.daemon.request.Quarantine;
import org.sequoiahill.daemon.request.RoutedRequest;
import org.sequoiahill.daemon.request.StreamRelay;
import org.sequoiahill.protocol.document.ServiceDocument.Kind;

/**
 * Relays event streams of model services through bounded buffers, and copies all other responses.
 */
public final class BufferedStreamRelay implements StreamRelay {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final ParkingPolicy mPolicy;
    private final MonotonicClock mClock;
    private final Quarantine mQuarantine;
    private final ScheduledExecutorService mScheduler;
    private final MeterRegistry mMetrics;
    private final AtomicLong mBuffered = new AtomicLong();
    private final Map<String, BufferedStream> mStreams = new ConcurrentHashMap<>();

    private BufferedStreamRelay(
            ParkingPolicy policy,
            MonotonicClock clock,
            Quarantine quarantine,
            ScheduledExecutorService scheduler,
            MeterRegistry metrics) {
        mScheduler = scheduler;
        mPolicy = policy;
        mClock = clock;
        mQuarantine = quarantine;
        mMetrics = metrics;
        metrics.gauge("sequoia_stream_buffered_bytes", mBuffered);
        metrics.gaugeMapSize("sequoia_streams", List.of(), mStreams);
    }

    /** Returns a relay that parks streams of slow readers once {@link #start} is called. */
    public static BufferedStreamRelay of(
            ParkingPolicy policy,
            MonotonicClock clock,
            Quarantine quarantine,
            ScheduledExecutorService scheduler,
            MeterRegistry metrics) {
        return new BufferedStreamRelay(policy, clock, quarantine, scheduler, metrics);
    }

    /** Starts to park streams of slow readers periodically. */
    public void start() {
        PeriodicTasks.schedule(mScheduler, CHECK_INTERVAL, "parking", this::parkSlowReaders);
    }

    @Override
    public void relay(
            RoutedRequest request,
            Attempt attempt,
            Outcome.Responded responded,
            Destination destination,
            Resumer resumer) {
        if (!isEventStream(request, responded)) {
            HttpForwarder.relay(
                    responded.response(),
                    responded.content(),
                    destination.response(),
                    destination.callback());
            return;
        }
        HttpForwarder.copyHead(responded.response(), destination.response());
        BufferedStream stream =
                new BufferedStream(
                        this,
                        attempt.requestId(),
                        destination,
                        Resumption.of(responded.response().getHeaders(), resumer),
                        cause ->
                                mQuarantine.responseBroken(
                                        request, attempt, new EndpointBrokeException(cause)));
        mStreams.put(attempt.requestId(), stream);
        stream.start(responded.content());
    }

    /** Parks the streams that the policy chooses. */
    void parkSlowReaders() {
        List<ParkingPolicy.Reader> readers =
                mStreams.values().stream()
                        .filter(BufferedStream::isFlowing)
                        .map(BufferedStream::reader)
                        .toList();
        for (String id : mPolicy.streamsToPark(readers, mBuffered.get(), mClock.now())) {
            BufferedStream stream = mStreams.get(id);
            if (stream != null) {
                stream.park();
            }
        }
    }

    void schedule(Duration time, Runnable task) {
        mScheduler.schedule(task, time.toMillis(), TimeUnit.MILLISECONDS);
    }

    Duration now() {
        return mClock.now();
    }

    void addBuffered(long bytes) {
        mBuffered.addAndGet(bytes);
    }

    void count(String what) {
        mMetrics.counter("sequoia_streams_changed", "what", what).increment();
    }

    void remove(String id) {
        mStreams.remove(id);
    }

    private static boolean isEventStream(RoutedRequest request, Outcome.Responded responded) {
        String type = responded.response().getHeaders().get(HttpHeader.CONTENT_TYPE);
        return request.service().kind() == Kind.MODEL
                && responded.response().getStatus() == HttpStatus.OK_200
                && EventStreamSource.isEventStream(type);
    }
}
