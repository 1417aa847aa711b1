package org.sequoiahill.daemon.connection;

import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/**
 * A source whose reader learns of a failure that is signaled from outside, even if the underlying
 * source never calls the reader back.
 *
 * <p>Jetty's client can lose the callback of a reader that demands content at the moment at which
 * the response fails; the failure is then only reported with the result of the exchange.
 */
public final class FailureSignalingSource implements Content.Source {
    private final Content.Source mSource;
    private final AtomicReference<@Nullable Runnable> mDemand = new AtomicReference<>();
    private volatile @Nullable Throwable mFailure;

    private FailureSignalingSource(Content.Source source) {
        mSource = source;
    }

    /** Returns a source that reads from {@code source}. */
    public static FailureSignalingSource over(Content.Source source) {
        return new FailureSignalingSource(source);
    }

    /** Makes the source fail once all available content has been read. */
    public void signalFailure(Throwable failure) {
        mFailure = failure;
        callReader();
    }

    @Override
    public Content.@Nullable Chunk read() {
        Content.Chunk chunk = mSource.read();
        Throwable failure = mFailure;
        return chunk == null && failure != null ? Content.Chunk.from(failure, true) : chunk;
    }

    @Override
    public void demand(Runnable demandCallback) {
        mDemand.set(demandCallback);
        if (mFailure != null) {
            callReader();
        } else {
            mSource.demand(this::callReader);
        }
    }

    @Override
    public void fail(Throwable failure) {
        mSource.fail(failure);
    }

    @Override
    public long getLength() {
        return mSource.getLength();
    }

    private void callReader() {
        Runnable callback = mDemand.getAndSet(null);
        if (callback != null) {
            callback.run();
        }
    }
}
