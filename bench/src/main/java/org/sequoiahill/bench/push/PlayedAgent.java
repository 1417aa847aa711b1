package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.sequoiahill.daemon.version.staging.PieceQueue;

/** An agent that fetches pieces as {@code PieceFetcher} does beside an engine that serves. */
final class PlayedAgent {
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);
    private static final Duration LOST_INTERVAL = Duration.ofMillis(200);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(60);
    private static final int FAILURES_TO_ORIGIN = 3;
    private static final int MAX_FAILURES = 100;

    private final PlayedPush mPush;
    private final PlayedVm mVm;
    private final Set<Integer> mHeld = new HashSet<>();
    private boolean mHasManifest;
    private int mFailures;

    /** Number of this process; what an earlier one asked for comes to nobody. */
    private int mIncarnation;

    PlayedAgent(PlayedPush push, PlayedVm vm) {
        mPush = push;
        mVm = vm;
    }

    PlayedVm vm() {
        return mVm;
    }

    int failures() {
        return mFailures;
    }

    boolean isWhole() {
        return mHeld.size() == mPush.shape().pieces();
    }

    /** Begins to fetch. */
    void start() {
        manifest(mIncarnation, 0);
    }

    /** Ends the process; the next one starts after a time with the pieces at the engine. */
    void restart(Duration after) {
        mIncarnation++;
        mHasManifest = false;
        int incarnation = mIncarnation;
        mPush.time().runAfter(after, () -> manifest(incarnation, 0));
    }

    private void manifest(int incarnation, int failures) {
        Consumer<Boolean> done =
                isHere -> {
                    if (incarnation != mIncarnation) {
                        return;
                    }
                    if (isHere) {
                        mHasManifest = true;
                        fetch(incarnation);
                    } else if (failures < FAILURES_TO_ORIGIN) {
                        manifest(incarnation, failures + 1);
                    } else {
                        mPush.time().runAfter(LOST_INTERVAL, () -> manifest(incarnation, 0));
                    }
                };
        if (mHasManifest) {
            done.accept(true);
        } else if (failures < FAILURES_TO_ORIGIN) {
            PlayedEntry supplier = mPush.supplier(mVm.region(), 0, failures);
            mPush.network()
                    .ask(
                            mVm,
                            supplier.vm(),
                            PlayedEntry.READ_BOUND,
                            PlayedPush.MANIFEST_BITS,
                            supplier::manifest,
                            done);
        } else {
            mPush.origin().get(mVm, PlayedPush.MANIFEST_BITS, done);
        }
    }

    private void fetch(int incarnation) {
        List<Integer> missing =
                mPush.order(this).stream().filter(piece -> !mHeld.contains(piece)).toList();
        next(PieceQueue.of(missing, MAX_FAILURES), incarnation);
    }

    private void next(PieceQueue queue, int incarnation) {
        Integer piece = isWhole() ? null : queue.take();
        if (piece == null) {
            if (isWhole()) {
                mPush.whole(this);
            } else {
                mPush.time().runAfter(STEP_INTERVAL, () -> fetch(incarnation));
            }
            return;
        }
        Consumer<Boolean> done =
                isHere -> {
                    if (incarnation != mIncarnation) {
                        return;
                    }
                    if (isHere) {
                        mHeld.add(piece);
                        queue.came(piece);
                        next(queue, incarnation);
                    } else {
                        mFailures++;
                        queue.failed(piece);
                        mPush.time().runAfter(RETRY_PAUSE, () -> next(queue, incarnation));
                    }
                };
        int failures = queue.failures(piece);
        if (failures < FAILURES_TO_ORIGIN) {
            PlayedEntry supplier = mPush.supplier(mVm.region(), piece, failures);
            mPush.network()
                    .ask(
                            mVm,
                            supplier.vm(),
                            PlayedEntry.READ_BOUND,
                            mPush.shape().pieceBits(),
                            answer -> supplier.get(piece, answer),
                            done);
        } else {
            mPush.origin().get(mVm, mPush.shape().pieceBits(), done);
        }
    }
}
