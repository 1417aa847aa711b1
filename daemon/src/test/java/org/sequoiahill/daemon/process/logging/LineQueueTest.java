package org.sequoiahill.daemon.process.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests of {@link LineQueue}: logging never blocks, and dropped lines are counted. */
final class LineQueueTest {
    private static final int MAX_LINES = 10;

    @Test
    void add_blockedOutput_dropsAndCounts() throws InterruptedException {
        BlockedOutput output = new BlockedOutput();
        LineQueue queue = LineQueue.to(output, MAX_LINES);
        queue.add(line("first"));
        assertThat(output.mIsWriting.await(10, TimeUnit.SECONDS), is(true));
        for (int i = 0; i < 100; i++) {
            queue.add(line("line " + i));
        }
        output.mUnblocked.countDown();
        assertThat(output.mHasDropCount.await(10, TimeUnit.SECONDS), is(true));
        assertThat(output.text(), containsString("log lines dropped: 90"));
        assertThat(
                output.text().lines().filter(text -> text.startsWith("line")).count(),
                lessThanOrEqualTo((long) MAX_LINES));
    }

    private static byte[] line(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** An output that blocks until the test unblocks it. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch mIsWriting = new CountDownLatch(1);
        private final CountDownLatch mUnblocked = new CountDownLatch(1);
        private final CountDownLatch mHasDropCount = new CountDownLatch(1);
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            throw new AssertionError("lines are written in one call");
        }

        @Override
        public synchronized void write(byte[] bytes, int offset, int length) {
            mIsWriting.countDown();
            try {
                mUnblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            mBytes.write(bytes, offset, length);
            if (new String(bytes, StandardCharsets.UTF_8).contains("dropped")) {
                mHasDropCount.countDown();
            }
        }

        synchronized String text() {
            return mBytes.toString(StandardCharsets.UTF_8);
        }
    }
}
