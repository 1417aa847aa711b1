package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** An entry that draws and relays pieces as {@code PieceRelay} does while no engine has them. */
final class SimulatedEntry {
    /** Time without a first byte after which a daemon is given up. */
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

    /** Brings this entry's pieces here, one after the other. */
    void prefetch() {
        List<Integer> own =
                mPush.plan()
                        .assignedPieces(
                                mVm.name(),
                                SimulatedPush.regionName(mVm.region()),
                                mPush.shape().pieces());
        manifest(
                isHere -> {
                    if (isHere) {
                        prefetchNext(own, 0);
                    }
                });
    }

    private void prefetchNext(List<Integer> own, int next) {
        if (next < own.size()) {
            get(own.get(next), isHere -> prefetchNext(own, next + 1));
        }
    }

    /** Brings the manifest here. */
    void manifest(Consumer<Boolean> done) {
        if (mHasManifest) {
            done.accept(true);
            return;
        }
        mManifestWaiters.add(done);
        if (mManifestWaiters.size() > 1) {
            return;
        }
        String drawer = mPush.plan().fetchingEntry(0).orElse(mVm.name());
        if (drawer.equals(mVm.name()) || mFailedEntries.contains(drawer)) {
            fetchManifestFromOrigin();
            return;
        }
        SimulatedEntry peer = mPush.entry(drawer);
        mPush.network()
                .call(
                        mVm,
                        peer.mVm,
                        READ_TIMEOUT,
                        SimulatedPush.MANIFEST_BITS,
                        peer::manifest,
                        isHere -> {
                            if (isHere) {
                                manifestCompleted(true);
                            } else {
                                mFailedEntries.add(drawer);
                                fetchManifestFromOrigin();
                            }
                        });
    }

    private void fetchManifestFromOrigin() {
        mPush.origin().fetch(mVm, SimulatedPush.MANIFEST_BITS, this::manifestCompleted);
    }

    private void manifestCompleted(boolean isHere) {
        mHasManifest |= isHere;
        List<Consumer<Boolean>> waiting = List.copyOf(mManifestWaiters);
        mManifestWaiters.clear();
        waiting.forEach(each -> each.accept(isHere));
    }

    /** Brings a piece here, once for all who ask meanwhile. */
    void get(int piece, Consumer<Boolean> done) {
        if (mHeld.contains(piece)) {
            done.accept(true);
            return;
        }
        List<Consumer<Boolean>> others = mInFlight.get(piece);
        if (others != null) {
            others.add(done);
            return;
        }
        mInFlight.put(piece, new ArrayList<>(List.of(done)));
        manifest(
                isHere -> {
                    if (isHere) {
                        fetch(piece);
                    } else {
                        completed(piece, false);
                    }
                });
    }

    private void fetch(int piece) {
        String drawer = mPush.plan().fetchingEntry(piece).orElse(mVm.name());
        if (drawer.equals(mVm.name()) || mFailedEntries.contains(drawer)) {
            fetchFromOrigin(piece);
            return;
        }
        SimulatedEntry peer = mPush.entry(drawer);
        mPush.network()
                .call(
                        mVm,
                        peer.mVm,
                        READ_TIMEOUT,
                        mPush.shape().pieceBits(),
                        answer -> peer.get(piece, answer),
                        isHere -> {
                            if (isHere) {
                                completed(piece, true);
                            } else {
                                mFailedEntries.add(drawer);
                                fetchFromOrigin(piece);
                            }
                        });
    }

    private void fetchFromOrigin(int piece) {
        mPush.origin().fetch(mVm, mPush.shape().pieceBits(), isHere -> completed(piece, isHere));
    }

    private void completed(int piece, boolean isHere) {
        if (isHere) {
            mHeld.add(piece);
        }
        List<Consumer<Boolean>> waiting = mInFlight.remove(piece);
        if (waiting != null) {
            waiting.forEach(each -> each.accept(isHere));
        }
    }
}
