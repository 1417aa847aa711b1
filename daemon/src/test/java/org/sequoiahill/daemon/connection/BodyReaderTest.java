package org.sequoiahill.daemon.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link BodyReader} and {@link ByteBudget}. */
final class BodyReaderTest {
    @ParameterizedTest
    @CsvSource({
        // size of the body, maximum size of one body, budget for all bodies; whether it is read
        "10, 10, 100, true",
        "11, 10, 100, false",
        "10, 100, 10, true",
        "11, 100, 10, false",
        "0, 0, 0, true"
    })
    void read_body_failsOverItsMaximumOrTheBudget(
            int bytes, int maxBytes, int budgetBytes, boolean isRead) {
        ByteBudget budget = ByteBudget.of(budgetBytes);
        CompletableFuture<byte[]> body = BodyReader.read(new Source(bytes), maxBytes, budget);
        assertThat(body.isCompletedExceptionally(), is(!isRead));
        assertThat(budget.reserved(), is(0L));
    }

    @Test
    void read_whileAnotherBodyIsBuffered_sharesTheBudget() {
        ByteBudget budget = ByteBudget.of(15);
        Source slow = new Source(10);
        slow.mIsEndMissing = true;
        CompletableFuture<byte[]> first = BodyReader.read(slow, 100, budget);
        CompletableFuture<byte[]> second = BodyReader.read(new Source(10), 100, budget);
        ExecutionException failure = assertThrows(ExecutionException.class, second::get);
        assertThat(failure.getCause(), instanceOf(BodyReader.BodyTooLargeException.class));
        assertThat(first.isDone(), is(false));
        slow.end();
        assertThat(first.join().length, is(10));
        assertThat(BodyReader.read(new Source(10), 100, budget).join().length, is(10));
    }

    /** A body that arrives byte by byte. */
    private static final class Source implements Content.Source {
        private final Deque<Content.Chunk> mChunks = new ArrayDeque<>();
        private boolean mIsEndMissing;
        private Runnable mDemand = () -> {};

        Source(int bytes) {
            for (int i = 0; i < bytes; i++) {
                mChunks.add(Content.Chunk.from(ByteBuffer.wrap(new byte[] {1}), false));
            }
        }

        void end() {
            mIsEndMissing = false;
            mDemand.run();
        }

        @Override
        public Content.Chunk read() {
            if (mChunks.isEmpty()) {
                return mIsEndMissing ? null : Content.Chunk.EOF;
            }
            return mChunks.poll();
        }

        @Override
        public void demand(Runnable demand) {
            mDemand = demand;
        }

        @Override
        public void fail(Throwable failure) {
            mChunks.clear();
        }
    }
}
