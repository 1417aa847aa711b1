package org.sequoiahill.daemon.process.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/** Tests a group of one store with real threads and files. */
final class GroupLogTest {
    private static final long WAIT_SECONDS = 30;
    private static final LogTiming TIMING =
            new LogTiming(Duration.ofMillis(20), Duration.ofMillis(50), Duration.ofMillis(100));

    @TempDir private Path mFolder;

    private final List<GroupLog> mOpened = new ArrayList<>();

    /** Sums up the first bytes of the payloads. */
    private static final class SummingMachine implements StateMachine {
        private int mSum;

        @Override
        public synchronized void apply(long index, byte[] payload) {
            mSum += payload[0];
        }

        @Override
        public synchronized byte[] snapshot() {
            return Integer.toString(mSum).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        }

        @Override
        public synchronized void restore(byte[] snapshot) {
            mSum = Integer.parseInt(new String(snapshot, java.nio.charset.StandardCharsets.UTF_8));
        }

        synchronized int sum() {
            return mSum;
        }
    }

    @AfterEach
    void closeAll() {
        mOpened.forEach(GroupLog::close);
    }

    @Test
    void propose_manyThenRestart_appliesAllOnce() throws Exception {
        SummingMachine machine = new SummingMachine();
        GroupLog log = open(DiskFolder.open(mFolder), machine);
        proposeWhenLeading(log);
        List<CompletableFuture<Long>> done = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            done.add(log.propose(new byte[] {1}));
        }
        for (CompletableFuture<Long> future : done) {
            future.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
        log.confirmLeadership().get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(machine.sum(), is(201));
        log.close();
        log.awaitEnd();

        SummingMachine restored = new SummingMachine();
        GroupLog second = open(DiskFolder.open(mFolder), restored);
        proposeWhenLeading(second);

        assertThat(restored.sum(), is(202));
    }

    @Test
    void isCurrent_committedButNotYetApplied_isFalse() throws Exception {
        SummingMachine first = new SummingMachine();
        GroupLog log = open(DiskFolder.open(mFolder), first);
        proposeWhenLeading(log);
        log.close();
        log.awaitEnd();

        SlowMachine slow = new SlowMachine();
        GroupLog second = open(DiskFolder.open(mFolder), slow);
        assertThat(slow.mIsApplying.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
        boolean wasCurrent = second.isCurrent();
        slow.mMayContinue.countDown();
        assertThat("current before the entries are applied", wasCurrent, is(false));
    }

    @Test
    void isCurrent_applied_isTrue() throws Exception {
        GroupLog log = open(DiskFolder.open(mFolder), new SummingMachine());
        proposeWhenLeading(log);
        log.confirmLeadership().get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(log.isCurrent(), is(true));
    }

    /** Blocks while it applies a payload until the test lets it continue. */
    private static final class SlowMachine implements StateMachine {
        private final CountDownLatch mIsApplying = new CountDownLatch(1);
        private final CountDownLatch mMayContinue = new CountDownLatch(1);

        @Override
        public void apply(long index, byte[] payload) {
            mIsApplying.countDown();
            try {
                mMayContinue.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {
            throw new AssertionError("there is no snapshot");
        }
    }

    @Test
    void open_folderInUse_isRefused() throws Exception {
        open(DiskFolder.open(mFolder), new SummingMachine());

        assertThrows(IOException.class, () -> DiskFolder.open(mFolder));
    }

    @Test
    void propose_syncFails_failsAndStopsTheLog() throws Exception {
        MemoryFolder folder = new MemoryFolder(new Random(1));
        GroupLog log = open(folder, new SummingMachine());
        proposeWhenLeading(log);
        folder.failAfterSyncs(0);

        assertThat(failureOf(log.propose(new byte[] {1})), is(LogFailure.Kind.OUTCOME_UNKNOWN));
        assertThat(failureOf(log.propose(new byte[] {1})), is(LogFailure.Kind.STOPPED));
        assertThat(failureOf(log.confirmLeadership()), is(LogFailure.Kind.STOPPED));
        assertThat(log.isLeader(), is(false));
    }

    @Test
    void propose_tooLarge_failsAtOnce() throws Exception {
        GroupLog log = open(DiskFolder.open(mFolder), new SummingMachine());

        assertThat(
                failureOf(log.propose(new byte[Leadership.MAX_PAYLOAD_BYTES + 1])),
                is(LogFailure.Kind.TOO_LARGE));
    }

    private GroupLog open(LogFolder folder, StateMachine machine) throws IOException {
        Member self = new Member(new StoreId("store-0", 0), "127.20.0.1:1", true);
        GroupLog.Options options =
                GroupLog.Options.of("test", self.address(), List.of(self), TIMING, 64);
        GroupLog log =
                GroupLog.of(
                        options,
                        machine,
                        LogStorage.open(folder, "store-0", "test", 1),
                        messages -> {},
                        MonotonicClock.system(),
                        new Random(1),
                        Runnable::run);
        mOpened.add(log);
        log.start();
        return log;
    }

    private static void proposeWhenLeading(GroupLog log) throws Exception {
        CountDownLatch committed = new CountDownLatch(1);
        proposeUntilAccepted(log, committed);
        assertThat(committed.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    private static void proposeUntilAccepted(GroupLog log, CountDownLatch committed) {
        log.propose(new byte[] {1})
                .whenCompleteAsync(
                        (index, failure) -> {
                            if (failure == null) {
                                committed.countDown();
                            } else {
                                proposeUntilAccepted(log, committed);
                            }
                        });
    }

    private static LogFailure.Kind failureOf(CompletableFuture<?> future) {
        CompletionException failure = assertThrows(CompletionException.class, future::join);
        assertThat(failure.getCause(), instanceOf(LogFailure.class));
        return ((LogFailure) failure.getCause()).kind();
    }
}
