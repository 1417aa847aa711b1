package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An entry that fetches and relays pieces as {@code PieceRelay} does while no engine of its region
 * serves the version.
 */
final class SimulatedEntry {
    /** Time without a first byte after which a call to a daemon fails. */
    static final Duration READ_TIMEOUT = Duration.ofMillis(1_400);

    private final SimulatedVm mVm;
    private final SimulatedPush mPush;
    private final Set<Integer> mHeld = new HashSet<>();
    private final Map<Integer, List<Consumer<Boolean>>> mInFlight = new HashMap<>();
    private final Set<String> mFailedEntries = new HashSet<>();
    private final List<Consumer<Boolean>> mManifestWaiters = new ArrayList<>();
    private boolean mHasManifest;

    SimulatedEntry(SimulatedPush push, SimulatedVm vm) {
        mPush = push;
        mVm = vm;
    }

    SimulatedVm vm() {
        return mVm;
    }

    /**
     * Fetches the pieces that are assigned to this entry, one after the other; fetches none if the
     * manifest can't be fetched.
     */
    void prefetch() {
        List<Integer> assigned =
                mPush.plan()
                        .assignedPieces(
                                mVm.name(),
                                SimulatedPush.regionName(mVm.region()),
                                mPush.shape().pieces());
        manifest(
                isSuccessful -> {
                    if (isSuccessful) {
                        prefetchNext(assigned, 0);
                    }
                });
    }

    private void prefetchNext(List<Integer> assigned, int next) {
        if (next < assigned.size()) {
            get(assigned.get(next), isSuccessful -> prefetchNext(assigned, next + 1));
        }
    }

    /** Fetches the manifest unless it is held; fetches it once for all concurrent callers. */
    void manifest(Consumer<Boolean> done) {
        if (mHasManifest) {
            done.accept(true);
            return;
        }
        mManifestWaiters.add(done);
        if (mManifestWaiters.size() > 1) {
            return;
        }
        String fetchingEntry = mPush.plan().fetchingEntry(0).orElse(mVm.name());
        if (fetchingEntry.equals(mVm.name()) || mFailedEntries.contains(fetchingEntry)) {
            fetchManifestFromOrigin();
            return;
        }
        SimulatedEntry peer = mPush.entry(fetchingEntry);
        mPush.network()
                .call(
                        mVm,
                        peer.mVm,
                        READ_TIMEOUT,
                        SimulatedPush.MANIFEST_BITS,
                        peer::manifest,
                        isSuccessful -> {
                            if (isSuccessful) {
                                manifestCompleted(true);
                            } else {
                                mFailedEntries.add(fetchingEntry);
                                fetchManifestFromOrigin();
                            }
                        });
    }

    private void fetchManifestFromOrigin() {
        mPush.origin().fetch(mVm, SimulatedPush.MANIFEST_BITS, this::manifestCompleted);
    }

    private void manifestCompleted(boolean isSuccessful) {
        mHasManifest |= isSuccessful;
        List<Consumer<Boolean>> waiters = List.copyOf(mManifestWaiters);
        mManifestWaiters.clear();
        waiters.forEach(waiter -> waiter.accept(isSuccessful));
    }

    /** Fetches a piece unless it is held; fetches it once for all concurrent callers. */
    void get(int piece, Consumer<Boolean> done) {
        if (mHeld.contains(piece)) {
            done.accept(true);
            return;
        }
        List<Consumer<Boolean>> waiters = mInFlight.get(piece);
        if (waiters != null) {
            waiters.add(done);
            return;
        }
        mInFlight.put(piece, new ArrayList<>(List.of(done)));
        manifest(
                isSuccessful -> {
                    if (isSuccessful) {
                        fetch(piece);
                    } else {
                        completed(piece, false);
                    }
                });
    }

    private void fetch(int piece) {
        String fetchingEntry = mPush.plan().fetchingEntry(piece).orElse(mVm.name());
        if (fetchingEntry.equals(mVm.name()) || mFailedEntries.contains(fetchingEntry)) {
            fetchFromOrigin(piece);
            return;
        }
        SimulatedEntry peer = mPush.entry(fetchingEntry);
        mPush.network()
                .call(
                        mVm,
                        peer.mVm,
                        READ_TIMEOUT,
                        mPush.shape().pieceBits(),
                        response -> peer.get(piece, response),
                        isSuccessful -> {
                            if (isSuccessful) {
                                completed(piece, true);
                            } else {
                                mFailedEntries.add(fetchingEntry);
                                fetchFromOrigin(piece);
                            }
                        });
    }

    private void fetchFromOrigin(int piece) {
        mPush.origin()
                .fetch(
                        mVm,
                        mPush.shape().pieceBits(),
                        isSuccessful -> completed(piece, isSuccessful));
    }

    private void completed(int piece, boolean isSuccessful) {
        if (isSuccessful) {
            mHeld.add(piece);
        }
        List<Consumer<Boolean>> waiters = mInFlight.remove(piece);
        if (waiters != null) {
            waiters.forEach(waiter -> waiter.accept(isSuccessful));
        }
    }
}
