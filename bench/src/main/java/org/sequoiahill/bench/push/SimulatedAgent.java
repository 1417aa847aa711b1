package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.sequoiahill.daemon.version.staging.PieceQueue;

/** An agent that fetches one piece at a time, as {@code PieceFetcher} does for a serving engine. */
final class SimulatedAgent {
    /** Pause after a failed attempt to fetch a piece. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    /** Pause after entries and origin have failed to send the manifest. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    /** Pause after a fetch that ended incomplete. */
    private static final Duration STEP_INTERVAL = Duration.ofMillis(60);

    /** Failed attempts for the manifest or a piece at entries, after which the origin is asked. */
    private static final int MAX_ENTRY_FAILURES = 3;

    /** Failed attempts for all pieces together, after which a fetch ends incomplete. */
    private static final int MAX_TOTAL_FAILURES = 100;

    private final SimulatedPush mPush;
    private final SimulatedVm mVm;
    private final Set<Integer> mHeld = new HashSet<>();
    private boolean mHasManifest;
    private int mFailures;

    /** Number of the current process; responses to requests of earlier ones are dropped. */
    private int mIncarnation;

    SimulatedAgent(SimulatedPush push, SimulatedVm vm) {
        mPush = push;
        mVm = vm;
    }

    SimulatedVm vm() {
        return mVm;
    }

    int failures() {
        return mFailures;
    }

    boolean isComplete() {
        return mHeld.size() == mPush.shape().pieces();
    }

    /** Starts fetching. */
    void start() {
        fetchManifest(mIncarnation, 0);
    }

    /** Ends the process; the next one starts after {@code delay} and keeps the staged pieces. */
    void restart(Duration delay) {
        mIncarnation++;
        mHasManifest = false;
        int incarnation = mIncarnation;
        mPush.time().runAfter(delay, () -> fetchManifest(incarnation, 0));
    }

    private void fetchManifest(int incarnation, int failures) {
        Consumer<Boolean> done =
                isSuccessful -> {
                    if (incarnation != mIncarnation) {
                        return;
                    }
                    if (isSuccessful) {
                        mHasManifest = true;
                        fetch(incarnation);
                    } else if (failures < MAX_ENTRY_FAILURES) {
                        fetchManifest(incarnation, failures + 1);
                    } else {
                        mPush.time().runAfter(RETRY_INTERVAL, () -> fetchManifest(incarnation, 0));
                    }
                };
        if (mHasManifest) {
            done.accept(true);
        } else if (failures < MAX_ENTRY_FAILURES) {
            SimulatedEntry entry = mPush.servingEntry(mVm.region(), 0, failures);
            mPush.network()
                    .call(
                            mVm,
                            entry.vm(),
                            SimulatedEntry.READ_TIMEOUT,
                            SimulatedPush.MANIFEST_BITS,
                            entry::manifest,
                            done);
        } else {
            mPush.origin().fetch(mVm, SimulatedPush.MANIFEST_BITS, done);
        }
    }

    private void fetch(int incarnation) {
        List<Integer> missing =
                mPush.order(this).stream().filter(piece -> !mHeld.contains(piece)).toList();
        fetchNext(PieceQueue.of(missing, MAX_TOTAL_FAILURES), incarnation);
    }

    private void fetchNext(PieceQueue queue, int incarnation) {
        Integer piece = isComplete() ? null : queue.take();
        if (piece == null) {
            if (isComplete()) {
                mPush.onComplete(this);
            } else {
                mPush.time().runAfter(STEP_INTERVAL, () -> fetch(incarnation));
            }
            return;
        }
        Consumer<Boolean> done =
                isSuccessful -> {
                    if (incarnation != mIncarnation) {
                        return;
                    }
                    if (isSuccessful) {
                        mHeld.add(piece);
                        queue.completed(piece);
                        fetchNext(queue, incarnation);
                    } else {
                        mFailures++;
                        queue.failed(piece);
                        mPush.time().runAfter(RETRY_PAUSE, () -> fetchNext(queue, incarnation));
                    }
                };
        int failures = queue.failures(piece);
        if (failures < MAX_ENTRY_FAILURES) {
            SimulatedEntry entry = mPush.servingEntry(mVm.region(), piece, failures);
            mPush.network()
                    .call(
                            mVm,
                            entry.vm(),
                            SimulatedEntry.READ_TIMEOUT,
                            mPush.shape().pieceBits(),
                            response -> entry.get(piece, response),
                            done);
        } else {
            mPush.origin().fetch(mVm, mPush.shape().pieceBits(), done);
        }
    }
}
