package org.sequoiahill.daemon.version.fetch;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of chunks that this agent has sent and received. */
public final class TransferCounts {
    private final LongAdder mFromOrigin = new LongAdder();
    private final LongAdder mFromPeers = new LongAdder();
    private final LongAdder mToPeers = new LongAdder();

    private TransferCounts() {}

    /** Returns counts at zero. */
    public static TransferCounts create() {
        return new TransferCounts();
    }

    /** Returns the bytes received from the origin. */
    public long fromOrigin() {
        return mFromOrigin.sum();
    }

    /** Returns the bytes received from other agents. */
    public long fromPeers() {
        return mFromPeers.sum();
    }

    /** Returns the bytes sent to other agents. */
    public long toPeers() {
        return mToPeers.sum();
    }

    void received(Source source, long bytes) {
        (source instanceof Source.Origin ? mFromOrigin : mFromPeers).add(bytes);
    }

    void sent(long bytes) {
        mToPeers.add(bytes);
    }
}
