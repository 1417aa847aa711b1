package org.sequoiahill.daemon.process.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.log.GroupLog;
import org.sequoiahill.daemon.process.log.LogRole;
import org.sequoiahill.daemon.process.log.LogTiming;
import org.sequoiahill.daemon.process.log.StoreGroup;
import org.sequoiahill.daemon.process.log.StoreRuntime;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/** Tests that a log which stopped because of its disk is opened again once the disk works. */
final class FleetLogTest {
    @TempDir private Path mFolder;

    private final TaskCapture mScheduler = new TaskCapture();
    private String mDisk = "works";

    @AfterEach
    void tearDown() {
        mScheduler.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "works",
                "full works",
                "full full full works",
                "broken works",
                "full broken full works"
            })
    void log_stoppedByItsDisk_isReopenedOnceTheDiskWorks(String states) throws Exception {
        FleetLog log = FleetLog.open(this::open);
        log.start(mScheduler);
        log.log().close();
        log.log().awaitEnd();
        for (String state : states.split(" ", -1)) {
            assertThat(log.log().role(), is(LogRole.STOPPED));
            mDisk = state;
            assertThat(mScheduler.runTask(), nullValue());
        }
        assertThat(log.log().role(), not(LogRole.STOPPED));
        log.log().close();
        log.log().awaitEnd();
    }

    private StoreGroup open() throws IOException {
        if (mDisk.equals("broken")) {
            throw new UncheckedIOException(new IOException("the disk is broken"));
        }
        // A folder in place of the new identity file fails its creation, as a full disk does.
        Path obstacle = mFolder.resolve("log").resolve("fleet").resolve("new-identity");
        Files.deleteIfExists(obstacle);
        if (mDisk.equals("full")) {
            Files.createDirectory(obstacle);
        }
        LogTiming timing =
                new LogTiming(Duration.ofMillis(10), Duration.ofMillis(50), Duration.ofMillis(90));
        return StoreGroup.open(
                GroupLog.Options.of("fleet", "127.0.0.1:1", List.of(), timing, 64),
                ServiceStub.LOG_CONFIG,
                FleetStateMachine.of(state -> {}),
                "store-0",
                mFolder,
                Identity.of("store-0", "dc", 1),
                new StoreRuntime(
                        MonotonicClock.system(),
                        InstantSource.system(),
                        new Random(1),
                        ControlTraffic.on(new SimpleMeterRegistry()),
                        new ControlClient.Timeouts(
                                Duration.ofMillis(100), Duration.ofMillis(100))));
    }

    /** Captures the periodic task instead of running it; the test runs it. */
    private static final class TaskCapture extends ScheduledThreadPoolExecutor {
        private @Nullable Runnable mTask;

        TaskCapture() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(
                Runnable task, long initialDelay, long delay, TimeUnit unit) {
            mTask = task;
            return new NeverRun();
        }

        /** Runs the task; returns its exception, which would end the repetition. */
        @Nullable RuntimeException runTask() {
            try {
                if (mTask != null) {
                    mTask.run();
                }
                return null;
            } catch (RuntimeException e) {
                return e;
            }
        }
    }

    private static final class NeverRun extends FutureTask<Object>
            implements RunnableScheduledFuture<Object> {
        NeverRun() {
            super(() -> null);
        }

        @Override
        public boolean isPeriodic() {
            return true;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }
}
