package org.sequoiahill.bench.load;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of a load generator's requests and their times to the first byte. */
public final class LoadCounts {
    private static final long MAX_LATENCY_MICROS = 600_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The outcome of one request; the constants name the members of the JSON output. */
    public enum Verdict {
        /**
         * The response to a completion was complete, from one expected version and for this
         * request, or a ledger call was acknowledged.
         */
        ANSWERED,
        /** The response was a refusal that says that the request has not run. */
        REFUSED_NOT_RUN,
        /** The response ended early with an error event. */
        TOLD,
        /** The entry refused the connection; the platform's load balancer would detect this. */
        NOT_CONNECTED,
        /** The error response leaves open whether the request has run. */
        OUTCOME_UNKNOWN,
        /** No response arrived, or a ledger call that was acknowledged is not on record. */
        LOST,
        /** The response ended early without an error event, or had the wrong number of tokens. */
        CUT,
        /** The response came from several versions, or from one that is not expected. */
        MIXED,
        /** The response belongs to another request, or its tokens are out of order. */
        CROSSED,
        /** A call that must run at most once has run more often. */
        DOUBLED,
        /** A call that was refused as not run has run. */
        FALSE_NOT_RUN
    }

    private final Map<Verdict, AtomicLong> mCounts = new EnumMap<>(Verdict.class);
    private final Histogram mFirstByte =
            new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    /** Returns new counts, all zero. */
    public static LoadCounts create() {
        return new LoadCounts();
    }

    private LoadCounts() {
        for (Verdict verdict : Verdict.values()) {
            mCounts.put(verdict, new AtomicLong());
        }
    }

    /** Counts one request. */
    public void add(Verdict verdict) {
        count(verdict).incrementAndGet();
    }

    /** Counts several requests. */
    public void add(Verdict verdict, long requests) {
        count(verdict).addAndGet(requests);
    }

    /** Records the time until the first byte of a response. */
    public void recordFirstByte(long micros) {
        mFirstByte.recordValue(Math.min(micros, MAX_LATENCY_MICROS));
    }

    /** Returns whether no request was lost, cut, mixed, crossed, doubled or falsely refused. */
    public boolean isClean() {
        return count(Verdict.LOST).get()
                        + count(Verdict.CUT).get()
                        + count(Verdict.MIXED).get()
                        + count(Verdict.CROSSED).get()
                        + count(Verdict.DOUBLED).get()
                        + count(Verdict.FALSE_NOT_RUN).get()
                == 0;
    }

    /** Returns the counts and latencies, in milliseconds, as JSON. */
    public ObjectNode toJson() {
        ObjectNode node = JsonMapper.builder().build().createObjectNode();
        mCounts.forEach(
                (verdict, n) ->
                        node.put(verdict.name().toLowerCase(java.util.Locale.ROOT), n.get()));
        ObjectNode latency = node.putObject("first_byte_ms");
        for (double percentile : new double[] {50, 95, 99}) {
            latency.put(
                    "p" + (int) percentile, mFirstByte.getValueAtPercentile(percentile) / 1_000.0);
        }
        return node;
    }

    /** Returns the number of requests with a verdict. */
    public long of(Verdict verdict) {
        return count(verdict).get();
    }

    private AtomicLong count(Verdict verdict) {
        AtomicLong count = mCounts.get(verdict);
        if (count == null) {
            throw new IllegalStateException("no count for a verdict");
        }
        return count;
    }
}
