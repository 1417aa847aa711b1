package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sequoiahill.daemon.version.staging.PiecePlan;

/** An entry that draws and relays pieces as {@code PieceRelay} does while no engine has them. */
final class PlayedEntry {
    /** Time without a first byte after which a daemon is given up. */
    static final Duration READ_BOUND = Duration.ofMillis(1_400);

    private final PlayedVm mVm;
    private final PlayedPush mPush;
    private final Set<Integer> mHeld = new HashSet<>();
    private final Map<Integer, List<Consumer<Boolean>>> mComing = new HashMap<>();
    private boolean mHasManifest;

    PlayedEntry(PlayedPush push, PlayedVm vm) {
        mPush = push;
        mVm = vm;
    }

    PlayedVm vm() {
        return mVm;
    }

    /** Draws this entry's pieces one after the other, until one can't be drawn. */
    void drawAhead() {
        PiecePlan plan = mPush.plan();
        List<Integer> own = new ArrayList<>();
        for (int piece = 0; piece < mPush.shape().pieces(); piece++) {
            if (plan.drawer(piece).equals(Optional.of(mVm.name()))) {
                own.add(piece);
            }
        }
        manifest(
                isHere -> {
                    if (isHere) {
                        drawNext(own, 0);
                    }
                });
    }

    private void drawNext(List<Integer> own, int next) {
        if (next < own.size()) {
            get(
                    own.get(next),
                    isHere -> {
                        if (isHere) {
                            drawNext(own, next + 1);
                        }
                    });
        }
    }

    /** Brings the manifest here. */
    void manifest(Consumer<Boolean> done) {
        if (mHasManifest) {
            done.accept(true);
            return;
        }
        mPush.origin()
                .get(
                        mVm,
                        PlayedPush.MANIFEST_BITS,
                        isHere -> {
                            mHasManifest |= isHere;
                            done.accept(isHere);
                        });
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
        if (drawer.equals(mVm.name())) {
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
