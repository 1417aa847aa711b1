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
    private static final int FAILURES_TO_REST = 2;

    private static final Duration FIRST_REST = Duration.ofMillis(500);

    /** Longest pause that an endpoint is given; it may ask again with its next answer. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(2);

    private static final int MAX_REST_DOUBLINGS = 3;

    /** Silence on a waiting request, without any answer since, that makes an endpoint suspect. */
    private static final Duration SILENCE = Duration.ofSeconds(1);

    /** Time for which a told load is better than what answers say. */
    private static final Duration TOLD_FOR = Duration.ofMillis(800);

    /** Requests that each other entry is taken to have sent, as a part of this one's. */
    private static final double OTHERS_PART = 0.5;

    private final ColdPace mColdPace = new ColdPace();
    private final TreeMap<Long, Unanswered> mUnanswered = new TreeMap<>();
    private final RecentTimes mSends = new RecentTimes();
    private final RecentTimes mEnds = new RecentTimes();
    private int mUnreadTokens;
    private long mNextSend;
    private int mRunning;
    private int mReported;
    private int mSentSinceReport;
    private int mEndedSinceReport;
    private int mFailures;
    private Duration mRestsUntil = Duration.ZERO;
    private Duration mAnsweredAt = Duration.ZERO;
    private Duration mToldAt = Duration.ZERO.minus(TOLD_FOR);
    private Duration mColdUntil = Duration.ZERO;
    private Duration mTurnedAwayUntil = Duration.ZERO;
    private Duration mPausedUntil = Duration.ZERO;
    private boolean mIsLeaving;

    /**
     * Returns requests that are estimated to run and wait there.
     *
     * @param entries entries that send there too; each is taken to send half as much as this one
     *     since a load was told, as all see the same room
     */
    double load(int entries, Duration now) {
        if (!isTold(now)) {
            return Math.max(mRunning, mReported + mSentSinceReport - mEndedSinceReport);
        }
        return Math.max(
                mRunning, mReported + crowd(entries) * mSentSinceReport - mEndedSinceReport);
    }

    /** Returns whether the endpoint's agent has told its load of late. */
    boolean isTold(Duration now) {
        return now.minus(mToldAt).compareTo(TOLD_FOR) < 0;
    }

    /**
     * Notes the load that the endpoint's agent tells; what was sent there while it was on its way
     * is not part of it.
     */
    void told(ToldLoad load) {
        if (load.reportedAt().compareTo(mToldAt) <= 0) {
            return;
        }
        mReported = load.requests();
        mSentSinceReport = mSends.after(load.reportedAt());
        mEndedSinceReport = mEnds.after(load.reportedAt());
        mToldAt = load.reportedAt();
    }

    /** Returns this entry's own requests there. */
    int running() {
        return mRunning;
    }

    ColdPace coldPace() {
        return mColdPace;
    }

    Duration coldUntil() {
        return mColdUntil;
    }

    /** A request without an answer yet. */
    private record Unanswered(Duration sentAt, int promptTokens) {}

    /**
     * Returns the prompt tokens that are estimated to be sent there and not read yet, as far as
     * this entry has sent any.
     *
     * @param entries entries that send there too
     */
    double unreadTokens(int entries) {
        return crowd(entries) * mUnreadTokens;
    }

    /** Returns what all entries do for one thing that this entry does, as all see the same room. */
    static double crowd(int entries) {
        return 1 + OTHERS_PART * (entries - 1);
    }

    /** Notes a request; returns its number, which is given back with its answer and its end. */
    long sent(Duration now, int promptTokens) {
        mRunning++;
        mSentSinceReport++;
        mSends.add(now);
        long number = mNextSend++;
        mUnanswered.put(number, new Unanswered(now, promptTokens));
        mUnreadTokens += promptTokens;
        return number;
    }

    /** Notes the head of an answer. */
    void answered(long number, EndpointAnswer answer, Duration now) {
        forget(number);
        mAnsweredAt = now;
        mIsLeaving |= answer.isLeaving();
        answer.coldFor().ifPresent(cold -> mColdUntil = now.plus(cold));
        answer.pause().ifPresent(pause -> pause(pause, now));
        answer.load()
                .filter(load -> !isTold(now))
                .ifPresent(
                        load -> {
                            mReported = load.running() + load.waiting();
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
    boolean isLeaving() {
        return mIsLeaving;
    }

    /** Notes that a request has ended, however it did. */
    void ended(long number, Duration now) {
        forget(number);
        mRunning--;
        mEndedSinceReport++;
        mEnds.add(now);
    }

    private void forget(long number) {
        Unanswered request = mUnanswered.remove(number);
        if (request != null) {
            mUnreadTokens -= request.promptTokens();
        }
    }

    /** Notes an answer that was whole. */
    void succeeded() {
        mFailures = 0;
        mRestsUntil = Duration.ZERO;
    }

    /** Notes a request that failed at the endpoint; after several it rests, longer each time. */
    void failed(Duration now) {
        mFailures++;
        if (mFailures >= FAILURES_TO_REST) {
            int doublings = Math.min(mFailures - FAILURES_TO_REST, MAX_REST_DOUBLINGS);
            mRestsUntil = now.plus(FIRST_REST.multipliedBy(1L << doublings));
        }
    }

    /** Notes that the endpoint can't be connected to. */
    void unreachable(Duration now) {
        mFailures = Math.max(mFailures, FAILURES_TO_REST - 1);
        failed(now);
    }

    /** Notes that the endpoint turned a request away unrun. */
    void turnedAway(Duration now, Duration pause) {
        mTurnedAwayUntil = now.plus(pause);
    }

    /** Returns whether new requests should go elsewhere. */
    boolean isResting(Duration now) {
        return now.compareTo(mRestsUntil) < 0
                || now.compareTo(mTurnedAwayUntil) < 0
                || isSilent(now);
    }

    private boolean isSilent(Duration now) {
        if (mUnanswered.isEmpty()) {
            return false;
        }
        Duration oldest = mUnanswered.firstEntry().getValue().sentAt();
        return now.minus(oldest).compareTo(SILENCE) > 0 && mAnsweredAt.compareTo(oldest) < 0;
    }
}
