package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.TreeMap;

/**
 * What one entry has seen of one start of an endpoint.
 *
 * <p>Answers tell more than reports: the load in an answer is as fresh as the answer, and an
 * endpoint that leaves several requests without an answer is not used, whatever it says of its
 * health. Guarded by the dispatcher.
 */
final class EndpointStatus {
    /** Failures in a row after which an endpoint rests. */
    private static final int FAILURES_BEFORE_BACKOFF = 2;

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

    /** Longest pause that an endpoint is given; it may ask again with its next answer. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(2);

    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /** Silence on a waiting request, without any answer since, that makes an endpoint suspect. */
    private static final Duration SILENCE_THRESHOLD = Duration.ofSeconds(1);

    /** Time for which a told load is better than what answers say. */
    private static final Duration LOAD_REPORT_LIFETIME = Duration.ofMillis(800);

    /** Requests that each other entry is taken to have sent, as a part of this one's. */
    private static final double OTHER_ENTRY_WEIGHT = 0.5;

    private final ColdStartPacer mColdStartPacer = new ColdStartPacer();
    private final TreeMap<Long, AwaitingResponse> mAwaitingResponse = new TreeMap<>();
    private final RecentTimestamps mSendTimes = new RecentTimestamps();
    private final RecentTimestamps mEndTimes = new RecentTimestamps();
    private int mUnprocessedTokens;
    private long mNextNumber;
    private int mRunning;
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
     * Returns requests that are estimated to run and wait there.
     *
     * @param entries entries that send there too; each is taken to send half as much as this one
     *     since a load was told, as all see the same room
     */
    double load(int entries, Duration now) {
        if (!hasRecentLoadReport(now)) {
            return Math.max(mRunning, mReportedLoad + mSentSinceReport - mEndedSinceReport);
        }
        return Math.max(
                mRunning,
                mReportedLoad + scaleForEntries(entries) * mSentSinceReport - mEndedSinceReport);
    }

    /** Returns whether the endpoint's agent has told its load of late. */
    boolean hasRecentLoadReport(Duration now) {
        return now.minus(mLoadReportedAt).compareTo(LOAD_REPORT_LIFETIME) < 0;
    }

    /**
     * Notes the load that the endpoint's agent tells; what was sent there while it was on its way
     * is not part of it.
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

    /** Returns this entry's own requests there. */
    int running() {
        return mRunning;
    }

    ColdStartPacer coldStartPacer() {
        return mColdStartPacer;
    }

    Duration coldUntil() {
        return mColdUntil;
    }

    /** A request without an answer yet. */
    private record AwaitingResponse(Duration sentAt, int promptTokens) {}

    /**
     * Returns the prompt tokens that are estimated to be sent there and not read yet, as far as
     * this entry has sent any.
     *
     * @param entries entries that send there too
     */
    double unprocessedTokens(int entries) {
        return scaleForEntries(entries) * mUnprocessedTokens;
    }

    /** Returns what all entries do for one thing that this entry does, as all see the same room. */
    static double scaleForEntries(int entries) {
        return 1 + OTHER_ENTRY_WEIGHT * (entries - 1);
    }

    /** Notes a request; returns its number, which is given back with its answer and its end. */
    long onSent(Duration now, int promptTokens) {
        mRunning++;
        mSentSinceReport++;
        mSendTimes.add(now);
        long number = mNextNumber++;
        mAwaitingResponse.put(number, new AwaitingResponse(now, promptTokens));
        mUnprocessedTokens += promptTokens;
        return number;
    }

    /** Notes the head of an answer. */
    void onResponse(long number, ResponseMetadata answer, Duration now) {
        stopAwaiting(number);
        mLastResponseAt = now;
        mIsDraining |= answer.isDraining();
        answer.coldDuration().ifPresent(cold -> mColdUntil = now.plus(cold));
        answer.pause().ifPresent(pause -> pause(pause, now));
        answer.load()
                .filter(load -> !hasRecentLoadReport(now))
                .ifPresent(
                        load -> {
                            mReportedLoad = load.running() + load.waiting();
                            mSentSinceReport = 0;
                            mEndedSinceReport = 0;
                        });
    }

    private void pause(Duration asked, Duration now) {
        Duration end = now.plus(asked.compareTo(MAX_PAUSE) < 0 ? asked : MAX_PAUSE);
        if (end.compareTo(mPausedUntil) > 0) {
            mPausedUntil = end;
        }
    }

    /** Returns whether the endpoint has asked for nothing more until a time that is to come. */
    boolean isPaused(Duration now) {
        return now.compareTo(mPausedUntil) < 0;
    }

    Duration pausedUntil() {
        return mPausedUntil;
    }

    /** Returns whether the endpoint has said in an answer that it leaves; this is final. */
    boolean isDraining() {
        return mIsDraining;
    }

    /** Notes that a request has ended, however it did. */
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

    /** Notes an answer that was whole. */
    void onSuccess() {
        mFailures = 0;
        mBackoffUntil = Duration.ZERO;
    }

    /** Notes a request that failed at the endpoint; after several it rests, longer each time. */
    void onFailure(Duration now) {
        mFailures++;
        if (mFailures >= FAILURES_BEFORE_BACKOFF) {
            int doublings = Math.min(mFailures - FAILURES_BEFORE_BACKOFF, MAX_BACKOFF_DOUBLINGS);
            mBackoffUntil = now.plus(INITIAL_BACKOFF.multipliedBy(1L << doublings));
        }
    }

    /** Notes that the endpoint can't be connected to. */
    void onUnreachable(Duration now) {
        mFailures = Math.max(mFailures, FAILURES_BEFORE_BACKOFF - 1);
        onFailure(now);
    }

    /** Notes that the endpoint turned a request away unrun. */
    void onRejected(Duration now, Duration pause) {
        mRejectingUntil = now.plus(pause);
    }

    /** Returns whether new requests should go elsewhere. */
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
