package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.SuspendAwareStopwatch;
import org.tinylog.Logger;

/**
 * Orders the engine to load staged pieces, and decides whether the pieces that it took were intact.
 *
 * <p>Staged pieces can become corrupt at any time, and the engine loads whatever is staged when it
 * accepts an order. A verification therefore counts for {@link #MAX_VERIFICATION_AGE} only. If the
 * engine may have accepted an order later than that, because this process was paused, the engine
 * was slow, or no response arrived, the pieces are verified again afterwards: nothing else writes
 * them, so pieces that are intact then were intact when the engine took them. Not thread-safe.
 */
final class VerifiedLoad {
    /** Longest time from the start of a verification until the engine accepts the order. */
    static final Duration MAX_VERIFICATION_AGE = Duration.ofMillis(2_500);

    /** A verification that takes longer is repeated, which leaves time for the order. */
    private static final Duration MAX_VERIFICATION_TIME = Duration.ofSeconds(1);

    /** Limit of repetitions, for an engine that is too slow for {@link #MAX_VERIFICATION_TIME}. */
    private static final int MAX_VERIFICATIONS = 3;

    private final StagingEngine mEngine;
    private final PieceStore mStore;
    private final MonotonicClock mClock;
    private final InstantSource mWallClock;

    /** The last order that the engine has or may have accepted; empty once it is known intact. */
    private Optional<Order> mUnverified = Optional.empty();

    /** The version that the engine has loaded from corrupt pieces, or may have. */
    private Optional<PieceManifest> mCorrupt = Optional.empty();

    VerifiedLoad(
            StagingEngine engine, PieceStore store, MonotonicClock clock, InstantSource wallClock) {
        mEngine = engine;
        mStore = store;
        mClock = clock;
        mWallClock = wallClock;
    }

    private record Order(PieceManifest manifest, SuspendAwareStopwatch sinceVerification) {
        boolean isVerificationValid() {
            return sinceVerification.elapsed().compareTo(MAX_VERIFICATION_AGE) <= 0;
        }
    }

    /**
     * Ensures that intact pieces are staged and orders the engine to load them; returns whether it
     * accepted the order.
     *
     * @throws IOException if the engine did not respond; it may have accepted the order
     */
    boolean order(PieceManifest manifest) throws IOException, InterruptedException {
        Optional<Order> previous = mUnverified;
        Order order = new Order(manifest, ensureStaged(manifest));
        mUnverified = Optional.of(order);
        boolean isAccepted = mEngine.load(manifest.model(), manifest.version());
        Duration age = order.sinceVerification().elapsed();
        Logger.info(
                "ordered to load version {} of {}, accepted: {}, verified {} ms before",
                manifest.version(),
                manifest.model(),
                isAccepted,
                age.toMillis());
        if (!isAccepted) {
            mUnverified = previous;
        } else if (order.isVerificationValid()) {
            mUnverified = Optional.empty();
            mCorrupt = Optional.empty();
        }
        return isAccepted;
    }

    /**
     * Returns whether the version that the engine has loaded is known to consist of intact pieces.
     *
     * @throws IOException if that has to be verified and the engine does not respond
     */
    boolean isIntact(String model, long loaded) throws IOException {
        if (mUnverified.filter(order -> isLoaded(order.manifest(), model, loaded)).isPresent()) {
            verifyLoaded(mUnverified.orElseThrow());
            mUnverified = Optional.empty();
        }
        return mCorrupt.filter(manifest -> isLoaded(manifest, model, loaded)).isEmpty();
    }

    private static boolean isLoaded(PieceManifest manifest, String model, long loaded) {
        return manifest.model().equals(model) && manifest.version() == loaded;
    }

    private void verifyLoaded(Order order) throws IOException {
        PieceManifest manifest = order.manifest();
        if (order.isVerificationValid() || corruptPieces(manifest) == 0) {
            mCorrupt = Optional.empty();
            return;
        }
        mCorrupt = Optional.of(manifest);
        Logger.error(
                "the engine may have loaded version {} of {} from corrupt pieces: the order was"
                        + " accepted up to {} ms after their verification; the engine stays out of"
                        + " use until it loads another version or restarts",
                manifest.version(),
                manifest.model(),
                order.sinceVerification().elapsed().toMillis());
    }

    private int corruptPieces(PieceManifest manifest) throws IOException {
        int corrupt = 0;
        for (int piece = 0; piece < manifest.pieces(); piece++) {
            corrupt += isStaged(manifest, piece) ? 0 : 1;
        }
        return corrupt;
    }

    private boolean isStaged(PieceManifest manifest, int piece) throws IOException {
        Optional<byte[]> staged = mEngine.stagedPiece(manifest.model(), piece);
        return staged.isPresent() && manifest.matches(piece, staged.get());
    }

    /**
     * Verifies the staged pieces, stages each that is missing or corrupt, and returns the time
     * since the verification began.
     */
    private SuspendAwareStopwatch ensureStaged(PieceManifest manifest)
            throws IOException, InterruptedException {
        int verifications = 0;
        while (true) {
            SuspendAwareStopwatch stopwatch = SuspendAwareStopwatch.start(mClock, mWallClock);
            stageMissing(manifest);
            verifications++;
            Duration elapsed = stopwatch.elapsed();
            if (elapsed.compareTo(MAX_VERIFICATION_TIME) <= 0
                    || verifications == MAX_VERIFICATIONS) {
                return stopwatch;
            }
            Logger.info(
                    "the staged pieces are verified again: verifying took {} ms",
                    elapsed.toMillis());
        }
    }

    private void stageMissing(PieceManifest manifest) throws IOException, InterruptedException {
        int stagedNow = 0;
        for (int piece = 0; piece < manifest.pieces(); piece++) {
            if (isStaged(manifest, piece)) {
                continue;
            }
            byte[] content = storedPiece(manifest, piece);
            checkNotLoading();
            mEngine.stage(manifest.model(), piece, content);
            stagedNow++;
        }
        if (stagedNow > 0) {
            Logger.info(
                    "staged {} of {} pieces of version {} of {}",
                    stagedNow,
                    manifest.pieces(),
                    manifest.version(),
                    manifest.model());
        }
    }

    private byte[] storedPiece(PieceManifest manifest, int piece)
            throws IOException, InterruptedException {
        return mStore.piece(manifest.model(), manifest.version(), piece, Duration.ZERO)
                .orElseThrow(
                        () -> new IOException("piece " + piece + " is no longer in the store"));
    }

    /**
     * Fails if the engine has accepted an earlier order whose response was lost: replacing a piece
     * would hide that it was corrupt when the engine took it.
     */
    private void checkNotLoading() throws IOException {
        if (mUnverified.isEmpty()) {
            return;
        }
        PieceManifest ordered = mUnverified.orElseThrow().manifest();
        StagingEngine.Status status = mEngine.status();
        long loaded = status.versions().getOrDefault(ordered.model(), 0L);
        if (status.isBusy() || loaded == ordered.version()) {
            throw new IOException("the engine carries out an earlier order");
        }
    }
}
