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
final class PlayedEntry {
    /** Time without a first byte after which a daemon is given up. */
    static final Duration READ_BOUND = Duration.ofMillis(1_400);

    private final PlayedVm mVm;
    private final PlayedPush mPush;
    private final Set<Integer> mHeld = new HashSet<>();
    private final Map<Integer, List<Consumer<Boolean>>> mComing = new HashMap<>();
    private final Set<String> mSilentDrawers = new HashSet<>();
    private final List<Consumer<Boolean>> mAwaitManifest = new ArrayList<>();
    private boolean mHasManifest;

    PlayedEntry(PlayedPush push, PlayedVm vm) {
        mPush = push;
        mVm = vm;
    }

    PlayedVm vm() {
        return mVm;
    }

    /** Brings this entry's pieces here, one after the other. */
    void drawAhead() {
        List<Integer> own =
                mPush.plan()
                        .own(
                                mVm.name(),
                                PlayedPush.regionName(mVm.region()),
                                mPush.shape().pieces());
        manifest(
                isHere -> {
                    if (isHere) {
                        drawNext(own, 0);
                    }
                });
    }

    private void drawNext(List<Integer> own, int next) {
        if (next < own.size()) {
            get(own.get(next), isHere -> drawNext(own, next + 1));
        }
    }

    /** Brings the manifest here. */
    void manifest(Consumer<Boolean> done) {
        if (mHasManifest) {
            done.accept(true);
            return;
        }
        mAwaitManifest.add(done);
        if (mAwaitManifest.size() > 1) {
            return;
        }
        String drawer = mPush.plan().drawer(0).orElse(mVm.name());
        if (drawer.equals(mVm.name()) || mSilentDrawers.contains(drawer)) {
            drawManifest();
            return;
        }
        PlayedEntry peer = mPush.entry(drawer);
        mPush.network()
                .ask(
                        mVm,
                        peer.mVm,
                        READ_BOUND,
                        PlayedPush.MANIFEST_BITS,
                        peer::manifest,
                        isHere -> {
                            if (isHere) {
                                manifestEnded(true);
                            } else {
                                mSilentDrawers.add(drawer);
                                drawManifest();
                            }
                        });
    }

    private void drawManifest() {
        mPush.origin().get(mVm, PlayedPush.MANIFEST_BITS, this::manifestEnded);
    }

    private void manifestEnded(boolean isHere) {
        mHasManifest |= isHere;
        List<Consumer<Boolean>> waiting = List.copyOf(mAwaitManifest);
        mAwaitManifest.clear();
        waiting.forEach(each -> each.accept(isHere));
    }

    /** Brings a piece here, once for all who ask meanwhile. */
    void get(int piece, Consumer<Boolean> done) {
        if (mHeld.contains(piece)) {
            done.accept(true);
            return;
        }
        List<Consumer<Boolean>> others = mComing.get(piece);
        if (others != null) {
            others.add(done);
            return;
        }
        mComing.put(piece, new ArrayList<>(List.of(done)));
        manifest(
                isHere -> {
                    if (isHere) {
                        fetch(piece);
                    } else {
                        ended(piece, false);
                    }
                });
    }

    private void fetch(int piece) {
        String drawer = mPush.plan().drawer(piece).orElse(mVm.name());
        if (drawer.equals(mVm.name()) || mSilentDrawers.contains(drawer)) {
            draw(piece);
            return;
        }
        PlayedEntry peer = mPush.entry(drawer);
        mPush.network()
                .ask(
                        mVm,
                        peer.mVm,
                        READ_BOUND,
                        mPush.shape().pieceBits(),
                        answer -> peer.get(piece, answer),
                        isHere -> {
                            if (isHere) {
                                ended(piece, true);
                            } else {
                                mSilentDrawers.add(drawer);
                                draw(piece);
                            }
                        });
    }

    private void draw(int piece) {
        mPush.origin().get(mVm, mPush.shape().pieceBits(), isHere -> ended(piece, isHere));
    }

    private void ended(int piece, boolean isHere) {
        if (isHere) {
            mHeld.add(piece);
        }
        List<Consumer<Boolean>> waiting = mComing.remove(piece);
        if (waiting != null) {
            waiting.forEach(each -> each.accept(isHere));
        }
    }
}
