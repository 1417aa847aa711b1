package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.TreeMap;

/**
 * What one entry knows about one incarnation of an endpoint from its responses and from the load
 * reports of its agent.
 *
 * <p>A recent load report takes precedence over the load in responses. An endpoint that leaves
 * requests unanswered is avoided, whatever state it reports. Guarded by the dispatcher's lock.
 */
final class EndpointStatus {
    /** Failures without a success in between after which an endpoint is avoided for a time. */
    private static final int FAILURES_BEFORE_BACKOFF = 2;

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

    /**
     * Maximum pause that an endpoint can request; it may request another one in its next response.
     */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(2);

    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /**
     * Age of an unanswered request above which an endpoint without any later response is considered
     * silent.
     */
    private static final Duration SILENCE_THRESHOLD = Duration.ofSeconds(1);

    /** Time for which a reported load takes precedence over the load in responses. */
    private static final Duration LOAD_REPORT_LIFETIME = Duration.ofMillis(800);

    /** Estimated number of requests that each other entry sends for each one of this entry. */
    private static final double OTHER_ENTRY_WEIGHT = 0.5;

    private final ColdStartPacer mColdStartPacer = new ColdStartPacer();
    private final TreeMap<Long, AwaitingResponse> mAwaitingResponse = new TreeMap<>();
    private final RecentTimestamps mSendTimes = new RecentTimestamps();
    private final RecentTimestamps mEndTimes = new RecentTimestamps();
    private int mUnprocessedTokens;
    private long mNextNumber;
    private int mRunning;

    /** Load in the agent's last report, or in a later response that was applied instead. */
    private int mReportedLoad;

    private int mSentSinceReport;
    private int mEndedSinceReport;
    private int mFailures;
    private Duration mBackoffUntil = Duration.ZERO;
    private Duration mLastResponseAt = Duration.ZERO;
    private Duration mLoadReportedAt = Duration.ZERO.minus(LOAD_REPORT_LIFETIME);
    private Duration mColdUntil = Duration.ZERO;
    private Duration mRejectingUntil = Duration.ZERO;
    private Duration mPausedUntil = Duration.ZERO;
    private boolean mIsDraining;

    /**
     * Returns the estimated number of requests that run and wait at the endpoint.
     *
     * @param entryCount entries that send to the endpoint; if the agent has reported the load
     *     recently, all see the same free capacity, and each other one is assumed to have sent half
     *     as many requests as this one since the report
     */
    double load(int entryCount, Duration now) {
        if (!hasRecentLoadReport(now)) {
            return Math.max(mRunning, mReportedLoad + mSentSinceReport - mEndedSinceReport);
        }
        return Math.max(
                mRunning,
                mReportedLoad + scaleForEntries(entryCount) * mSentSinceReport - mEndedSinceReport);
    }

    /** Returns whether the endpoint's agent has reported its load recently. */
    boolean hasRecentLoadReport(Duration now) {
        return now.minus(mLoadReportedAt).compareTo(LOAD_REPORT_LIFETIME) < 0;
    }

    /**
     * Applies a load reported by the endpoint's agent, unless it is no newer than the last one.
     * {@link #load} adds this entry's requests that were sent since the time of the report, and
     * subtracts those that have ended since.
     */
    void updateLoad(ReportedLoad load) {
        if (load.reportedAt().compareTo(mLoadReportedAt) <= 0) {
            return;
        }
        mReportedLoad = load.requests();
        mSentSinceReport = mSendTimes.countAfter(load.reportedAt());
        mEndedSinceReport = mEndTimes.countAfter(load.reportedAt());
        mLoadReportedAt = load.reportedAt();
    }

    /** Returns the number of this entry's own requests in progress at the endpoint. */
    int running() {
        return mRunning;
    }

    ColdStartPacer coldStartPacer() {
        return mColdStartPacer;
    }

    Duration coldUntil() {
        return mColdUntil;
    }

    /** A request whose response has not begun. */
    private record AwaitingResponse(Duration sentAt, int promptTokens) {}

    /**
     * Returns the estimated number of prompt tokens that were sent to the endpoint and not yet
     * processed; 0 if this entry has sent none of them.
     *
     * @param entryCount entries that send to the endpoint
     */
    double unprocessedTokens(int entryCount) {
        return scaleForEntries(entryCount) * mUnprocessedTokens;
    }

    /**
     * Returns the estimated number of requests of all entries for each one of this entry, as all
     * see the same free capacity.
     */
    static double scaleForEntries(int entryCount) {
        return 1 + OTHER_ENTRY_WEIGHT * (entryCount - 1);
    }

    /**
     * Records a request that is sent; returns its number, to be passed when its response begins and
     * when it ends.
     */
    long onSent(Duration now, int promptTokens) {
        mRunning++;
        mSentSinceReport++;
        mSendTimes.add(now);
        long number = mNextNumber++;
        mAwaitingResponse.put(number, new AwaitingResponse(now, promptTokens));
        mUnprocessedTokens += promptTokens;
        return number;
    }

    /** Records the status and headers of a response. */
    void onResponse(long number, ResponseMetadata response, Duration now) {
        stopAwaiting(number);
        mLastResponseAt = now;
        mIsDraining |= response.isDraining();
        response.coldDuration().ifPresent(coldDuration -> mColdUntil = now.plus(coldDuration));
        response.pause().ifPresent(pause -> pause(pause, now));
        response.load()
                .filter(load -> !hasRecentLoadReport(now))
                .ifPresent(
                        load -> {
                            mReportedLoad = load.running() + load.waiting();
                            mSentSinceReport = 0;
                            mEndedSinceReport = 0;
                        });
    }

    private void pause(Duration requested, Duration now) {
        Duration end = now.plus(requested.compareTo(MAX_PAUSE) < 0 ? requested : MAX_PAUSE);
        if (end.compareTo(mPausedUntil) > 0) {
            mPausedUntil = end;
        }
    }

    /** Returns whether the endpoint has requested a pause that has not elapsed. */
    boolean isPaused(Duration now) {
        return now.compareTo(mPausedUntil) < 0;
    }

    Duration pausedUntil() {
        return mPausedUntil;
    }

    /**
     * Returns whether a response has announced that the endpoint is draining; this is final for the
     * incarnation.
     */
    boolean isDraining() {
        return mIsDraining;
    }

    /** Records the end of a request, whatever its result. */
    void onEnded(long number, Duration now) {
        stopAwaiting(number);
        mRunning--;
        mEndedSinceReport++;
        mEndTimes.add(now);
    }

    private void stopAwaiting(long number) {
        AwaitingResponse request = mAwaitingResponse.remove(number);
        if (request != null) {
            mUnprocessedTokens -= request.promptTokens();
        }
    }

    /** Records a complete response that is no failure of the endpoint. */
    void onSuccess() {
        mFailures = 0;
        mBackoffUntil = Duration.ZERO;
    }

    /**
     * Records a failed request; after several without a success in between, the endpoint is avoided
     * for a backoff time that doubles with each further failure, up to a limit.
     */
    void onFailure(Duration now) {
        mFailures++;
        if (mFailures >= FAILURES_BEFORE_BACKOFF) {
            int doublings = Math.min(mFailures - FAILURES_BEFORE_BACKOFF, MAX_BACKOFF_DOUBLINGS);
            mBackoffUntil = now.plus(INITIAL_BACKOFF.multipliedBy(1L << doublings));
        }
    }

    /**
     * Records that the response to a request is overdue. It no longer makes the endpoint count as
     * silent, since only the connection may be dead.
     */
    void onSilence(long number, Duration now) {
        stopAwaiting(number);
        onFailure(now);
    }

    /**
     * Records that a request could not be sent, usually because no connection could be established;
     * the backoff starts with the first such failure.
     */
    void onUnreachable(Duration now) {
        mFailures = Math.max(mFailures, FAILURES_BEFORE_BACKOFF - 1);
        onFailure(now);
    }

    /**
     * Records that the endpoint, or another one at its address, rejected a request without running
     * it.
     *
     * @param pause time for which the endpoint is avoided
     */
    void onRejected(Duration now, Duration pause) {
        mRejectingUntil = now.plus(pause);
    }

    /**
     * Returns whether new requests should be sent elsewhere, because of failures, a rejection or
     * silence.
     */
    boolean isAvoided(Duration now) {
        return now.compareTo(mBackoffUntil) < 0
                || now.compareTo(mRejectingUntil) < 0
                || isSilent(now);
    }

    private boolean isSilent(Duration now) {
        if (mAwaitingResponse.isEmpty()) {
            return false;
        }
        Duration oldest = mAwaitingResponse.firstEntry().getValue().sentAt();
        return now.minus(oldest).compareTo(SILENCE_THRESHOLD) > 0
                && mLastResponseAt.compareTo(oldest) < 0;
    }
}
