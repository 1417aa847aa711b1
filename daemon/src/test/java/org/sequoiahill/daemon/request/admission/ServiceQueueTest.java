package org.sequoiahill.daemon.request.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.sequoiahill.daemon.process.directory.DataCentreTable.DataCentreTarget;
import org.sequoiahill.daemon.process.directory.TargetLoad;
import org.sequoiahill.daemon.request.Attempt;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RoutedRequest;
import org.sequoiahill.protocol.document.ServiceDocument;

final class ServiceQueueTest {
    private static final ServiceDocument SERVICE =
            ServiceDocument.parse(
                            """
                            {"service": "s", "owner": "o", "kind": "plain",
                             "routes": [{"path": "/r"}],
                             "organisations": [{"name": "a", "keyDigest": "%s"}]}
                            """
                                    .formatted("0".repeat(64)))
                    .orElseThrow();

    private final List<String> mEvents = new ArrayList<>();
    private final TargetLoad mLoad = TargetLoad.idle(0);
    private Duration mNow = Duration.ofSeconds(10);
    private boolean mIsAnyEndpointKnown = true;
    private final ServiceQueue mQueue = new ServiceQueue(() -> mNow, this::place, 4, 1 << 20);

    @Test
    void submit_capacity_isGrantedImmediately() {
        mLoad.report(0, 1);
        submit("a", 1_000);
        assertThat(mEvents, contains("a granted"));
    }

    @Test
    void submit_noCapacity_isGrantedOnceThereIs() {
        submit("a", 1_000);
        assertThat(mEvents, empty());
        mLoad.report(0, 1);
        mQueue.dispatch();
        assertThat(mEvents, contains("a granted"));
    }

    @Test
    void submit_noEndpointKnown_isRefusedImmediately() {
        mIsAnyEndpointKnown = false;
        submit("a", 1_000);
        assertThat(mEvents, contains("a no_endpoint not run, 1 s"));
    }

    @Test
    void dispatch_endpointsVanish_refusesQueuedRequests() {
        submit("a", 1_000);
        mIsAnyEndpointKnown = false;
        mQueue.dispatch();
        assertThat(mEvents, contains("a no_endpoint not run, 1 s"));
    }

    @Test
    void dispatch_deadlineNearerThanAverageServiceTime_isRefusedEarly() {
        mQueue.recordServiceTime(Duration.ofMillis(400));
        submit("a", 1_000);
        mNow = mNow.plusMillis(599);
        mQueue.dispatch();
        assertThat(mEvents, empty());
        mNow = mNow.plusMillis(2);
        mQueue.dispatch();
        assertThat(mEvents, contains("a deadline not run, 1 s"));
    }

    @Test
    void submit_queueTooSlowForTheDeadline_isRefusedWithEstimatedWait() {
        grantOneEach(Duration.ofSeconds(1), 3);
        submit("x", 60_000);
        submit("y", 60_000);
        mEvents.clear();
        submit("z", 1_500);
        assertThat(mEvents, contains("z deadline not run, 2 s"));
    }

    @Test
    void submit_queueFull_isRefusedImmediately() {
        for (String name : List.of("a", "b", "c", "d")) {
            submit(name, 60_000);
        }
        submit("e", 60_000);
        assertThat(mEvents, contains("e queue_full not run, 1 s"));
    }

    @Test
    void requeue_refusedByTheEndpoint_goesFirst() {
        mLoad.report(0, 1);
        TestQueuedRequest first = submit("a", 60_000);
        submit("b", 60_000);
        mLoad.report(9, 1);
        mLoad.requestEnded();
        mQueue.requeue(first);
        mLoad.report(0, 1);
        mQueue.dispatch();
        assertThat(mEvents, contains("a granted", "a granted"));
    }

    @Test
    void dispatch_callerDisconnected_isRemoved() {
        TestQueuedRequest gone = submit("a", 60_000);
        gone.mIsAbandoned = true;
        mQueue.dispatch();
        assertThat(mQueue.size(), is(0));
    }

    @Test
    void submit_emptyQueue_schedulesDispatchOnlyWhileARequestWaits() {
        List<Runnable> scheduled = new ArrayList<>();
        AdmissionController controller =
                AdmissionController.of(() -> mNow, this::place, schedulerInto(scheduled));
        controller.submit(new TestQueuedRequest("a", mNow.plusSeconds(1)));
        assertThat(scheduled.size(), is(1));
        scheduled.remove(0).run();
        assertThat(scheduled.size(), is(1));
        mLoad.report(0, 1);
        scheduled.remove(0).run();
        assertThat(mEvents, contains("a granted"));
        assertThat(scheduled, empty());
    }

    private static ScheduledExecutorService schedulerInto(List<Runnable> tasks) {
        return (ScheduledExecutorService)
                Proxy.newProxyInstance(
                        ServiceQueueTest.class.getClassLoader(),
                        new Class<?>[] {ScheduledExecutorService.class},
                        (proxy, method, arguments) -> {
                            tasks.add((Runnable) arguments[0]);
                            return null;
                        });
    }

    private void grantOneEach(Duration interval, int turns) {
        for (int i = 0; i < turns; i++) {
            mLoad.report(0, 1);
            submit("w", 60_000);
            mLoad.requestEnded();
            mLoad.report(9, 1);
            mNow = mNow.plus(interval);
        }
    }

    private TestQueuedRequest submit(String name, long deadlineMillis) {
        TestQueuedRequest request = new TestQueuedRequest(name, mNow.plusMillis(deadlineMillis));
        mQueue.submit(request);
        return request;
    }

    private PlacementResult place(QueuedRequest request) {
        if (!mIsAnyEndpointKnown) {
            return new PlacementResult.NoEndpoint();
        }
        if (!mLoad.hasCapacity(mNow)) {
            return new PlacementResult.NoCapacity();
        }
        return new PlacementResult.Placed(
                new Attempt(1, "1-1", "x:1", new DataCentreTarget("x", mLoad)));
    }

    private final class TestQueuedRequest implements QueuedRequest {
        private final String mName;
        private final Duration mDeadline;
        private boolean mIsAbandoned;

        TestQueuedRequest(String name, Duration deadline) {
            mName = name;
            mDeadline = deadline;
        }

        @Override
        public RoutedRequest request() {
            return new RoutedRequest(
                    SERVICE,
                    SERVICE.routes().get(0),
                    SERVICE.organisations().get(0),
                    "POST",
                    "/services/s/r",
                    HttpFields.EMPTY,
                    ByteBuffer.allocate(10));
        }

        @Override
        public Duration deadline() {
            return mDeadline;
        }

        @Override
        public Set<String> triedVms() {
            return Set.of();
        }

        @Override
        public int attempts() {
            return 0;
        }

        @Override
        public boolean isAbandoned() {
            return mIsAbandoned;
        }

        @Override
        public void onGranted(Attempt attempt) {
            mEvents.add(mName + " granted");
        }

        @Override
        public void onRefused(Refusal refusal) {
            String run = refusal.isNotRun() ? "not run" : "may have run";
            mEvents.add(
                    "%s %s %s, %d s"
                            .formatted(
                                    mName,
                                    refusal.code(),
                                    run,
                                    refusal.retryAfter().plusMillis(999).toSeconds()));
        }
    }
}
