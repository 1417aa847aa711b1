package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Adjusts the rate of chunk transfers on an agent's link to the latency of the endpoint's requests.
 */
public final class LinkRateController {
    private static final int MAX_SAMPLES = 1_000;
    private static final double PERCENTILE = 0.95;
    private static final int BASE_WEIGHT = 4;

    private final LinkRatePolicy mPolicy;
    private final List<TokenBucket> mBuckets;
    private final TransferCounts mCounts;
    private final List<Duration> mSamples = new ArrayList<>();
    private Duration mBaseLatency = Duration.ZERO;
    private double mRate;
    private long mBytesMoved;

    private LinkRateController(
            LinkRatePolicy policy, List<TokenBucket> buckets, TransferCounts counts) {
        mPolicy = policy;
        mBuckets = List.copyOf(buckets);
        mCounts = counts;
        mRate = policy.maxRate();
    }

    /** Returns a controller of the buckets that limit all chunk transfers of an agent. */
    public static LinkRateController of(
            LinkRatePolicy policy, List<TokenBucket> buckets, TransferCounts counts) {
        return new LinkRateController(policy, buckets, counts);
    }

    /** Records the time to the first byte of a response. */
    public synchronized void recordFirstByteLatency(Duration firstByte) {
        if (mSamples.size() < MAX_SAMPLES) {
            mSamples.add(firstByte);
        }
    }

    /** Sets the rate of the next interval; call it once per interval. */
    public synchronized void adjust() {
        Duration latency = drainPercentile();
        long bytesMoved = mCounts.fromOrigin() + mCounts.fromPeers() + mCounts.toPeers();
        if (bytesMoved == mBytesMoved) {
            updateBaseLatency(latency);
        }
        mBytesMoved = bytesMoved;
        mRate = mPolicy.next(mRate, mBaseLatency, latency);
        mBuckets.forEach(bucket -> bucket.setRate(mRate));
    }

    /** Returns the rate in bytes per second. */
    public synchronized double rate() {
        return mRate;
    }

    /**
     * Moves the base latency towards the latency of an interval in which no chunk was transferred.
     */
    private void updateBaseLatency(Duration latency) {
        if (latency.isZero()) {
            return;
        }
        mBaseLatency =
                mBaseLatency.isZero()
                        ? latency
                        : mBaseLatency
                                .multipliedBy(BASE_WEIGHT - 1L)
                                .plus(latency)
                                .dividedBy(BASE_WEIGHT);
    }

    private Duration drainPercentile() {
        if (mSamples.isEmpty()) {
            return Duration.ZERO;
        }
        mSamples.sort(null);
        Duration result = mSamples.get((int) ((mSamples.size() - 1) * PERCENTILE));
        mSamples.clear();
        return result;
    }
}
