package org.sequoiahill.daemon.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link FailureSignalingSource}. */
final class FailureSignalingSourceTest {
    private static final IOException FAILURE = new IOException("broken");

    private final SilentSource mSilent = new SilentSource();
    private final FailureSignalingSource mSource = FailureSignalingSource.over(mSilent);
    private final AtomicInteger mCalls = new AtomicInteger();

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void signalFailure_beforeOrAfterADemand_callsTheReaderOnce(boolean isSignaledFirst) {
        assertThat(mSource.read(), nullValue());
        if (isSignaledFirst) {
            mSource.signalFailure(FAILURE);
            mSource.demand(mCalls::incrementAndGet);
        } else {
            mSource.demand(mCalls::incrementAndGet);
            mSource.signalFailure(FAILURE);
        }
        assertThat(mCalls.get(), is(1));
        mSilent.mDemand.run();
        assertThat(mCalls.get(), is(1));
        assertThat(mSource.read().getFailure(), is(FAILURE));
    }

    @Test
    void signalFailure_contentIsAvailable_failsAfterIt() {
        mSilent.mChunks.add(Content.Chunk.from(ByteBuffer.wrap(new byte[] {1}), false));
        mSource.signalFailure(FAILURE);
        assertThat(mSource.read().remaining(), is(1));
        assertThat(mSource.read().getFailure(), is(FAILURE));
    }

    @Test
    void demand_noFailure_callsTheReaderWhenContentIsAvailable() {
        mSource.demand(mCalls::incrementAndGet);
        assertThat(mCalls.get(), is(0));
        mSilent.mDemand.run();
        assertThat(mCalls.get(), is(1));
    }

    /** A source that calls its reader back only when the test does so. */
    private static final class SilentSource implements Content.Source {
        private final Deque<Content.Chunk> mChunks = new ArrayDeque<>();
        private Runnable mDemand = () -> {};

        @Override
        public Content.Chunk read() {
            return mChunks.poll();
        }

        @Override
        public void demand(Runnable demandCallback) {
            mDemand = demandCallback;
        }

        @Override
        public void fail(Throwable failure) {
            mChunks.clear();
        }
    }
}
