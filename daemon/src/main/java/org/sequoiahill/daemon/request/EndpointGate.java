package org.sequoiahill.daemon.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The last gate before an endpoint: how many requests it holds, and for which weights. */
public final class EndpointGate {
    private final int mCapacity;
    private final Object mLock = new Object();
    private Optional<String> mDigest = Optional.empty();
    private int mRunning;
    private CompletableFuture<Void> mIdle = CompletableFuture.completedFuture(null);

    private EndpointGate(int capacity) {
        mCapacity = capacity;
    }

    /** Returns a closed gate for an endpoint that bears {@code capacity} requests at once. */
    public static EndpointGate closed(int capacity) {
        return new EndpointGate(capacity);
    }

    /**
     * A request that was let in; {@link EndpointGate#leave} must follow.
     *
     * @param digest manifest digest of the weights served, empty for a plain service
     */
    public record Permit(String digest) {}

    /** Lets a request in, unless the gate is closed or the endpoint is full. */
    public Optional<Permit> enter() {
        synchronized (mLock) {
            if (mDigest.isEmpty() || mRunning >= mCapacity) {
                return Optional.empty();
            }
            if (mRunning == 0) {
                mIdle = new CompletableFuture<>();
            }
            mRunning++;
            return mDigest.map(Permit::new);
        }
    }

    /** Notes the end of a request. */
    public void leave() {
        CompletableFuture<Void> idle;
        synchronized (mLock) {
            mRunning--;
            if (mRunning > 0) {
                return;
            }
            idle = mIdle;
        }
        idle.complete(null);
    }

    /** Opens the gate for weights; a plain service has an empty digest. */
    public void open(String digest) {
        synchronized (mLock) {
            mDigest = Optional.of(digest);
        }
    }

    /** Closes the gate; completes once no request is left. */
    public CompletableFuture<Void> close() {
        synchronized (mLock) {
            mDigest = Optional.empty();
            return mIdle;
        }
    }

    /** Returns whether requests are let in while there is room. */
    public boolean isOpen() {
        synchronized (mLock) {
            return mDigest.isPresent();
        }
    }

    /** Returns the requests that are running. */
    public int running() {
        synchronized (mLock) {
            return mRunning;
        }
    }
}
