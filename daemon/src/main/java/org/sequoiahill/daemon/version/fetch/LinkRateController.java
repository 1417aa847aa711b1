package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Sets the rate of chunks on an agent's link from the latency of the endpoint's requests. */
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
            LinkRatePolicy rule, List<TokenBucket> buckets, TransferCounts counts) {
        mPolicy = rule;
        mBuckets = List.copyOf(buckets);
        mCounts = counts;
        mRate = rule.maxRate();
    }

    /** Returns a governor of the buckets that all chunks of an agent pass. */
    public static LinkRateController of(
            LinkRatePolicy rule, List<TokenBucket> buckets, TransferCounts counts) {
        return new LinkRateController(rule, buckets, counts);
    }

    /** Notes the time to the first byte of a request's answer. */
    public synchronized void recordFirstByteLatency(Duration firstByte) {
        if (mSamples.size() < MAX_SAMPLES) {
            mSamples.add(firstByte);
        }
    }

    /** Sets the rate of the next interval; to be called once an interval. */
    public synchronized void adjust() {
        Duration latency = drainPercentile();
        long moved = mCounts.fromOrigin() + mCounts.fromPeers() + mCounts.toPeers();
        if (moved == mBytesMoved) {
            updateBaseLatency(latency);
        }
        mBytesMoved = moved;
        mRate = mPolicy.next(mRate, mBaseLatency, latency);
        mBuckets.forEach(bucket -> bucket.setRate(mRate));
    }

    /** Returns the rate in bytes per second. */
    public synchronized double rate() {
        return mRate;
    }

    /** The base follows the latency of intervals in which no chunk moved. */
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
