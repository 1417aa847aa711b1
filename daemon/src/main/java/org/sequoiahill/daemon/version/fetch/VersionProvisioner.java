package org.sequoiahill.daemon.version.fetch;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.weights.Manifest;
import org.tinylog.Logger;

/** Brings the stated version whole into the cache; called by one thread, again and again. */
public final class VersionProvisioner {
    private static final Duration MANIFEST_RETRY = Duration.ofMillis(200);
    private static final Duration DISK_RETRY = Duration.ofSeconds(5);

    private final VersionFetch.Dependencies mDependencies;
    private final ManifestClient mManifests;
    private final Executor mChecker;
    private final Set<String> mComplete = ConcurrentHashMap.newKeySet();
    private Duration mRetryAt;
    private int mManifestAttempts;
    private String mTarget = "";
    private volatile State mState = State.IDLE;
    private @Nullable CompletableFuture<Optional<Manifest>> mManifest;
    private volatile @Nullable VersionFetch mFetch;

    private VersionProvisioner(
            VersionFetch.Dependencies context,
            ManifestClient manifests,
            Executor checker,
            Duration notBefore) {
        mDependencies = context;
        mManifests = manifests;
        mChecker = checker;
        mRetryAt = notBefore;
    }

    /**
     * Returns a supply.
     *
     * @param checker runs the checks of whole versions
     * @param settle time after which the members of the region are expected to be known
     */
    public static VersionProvisioner of(
            VersionFetch.Dependencies context,
            ManifestClient manifests,
            Executor checker,
            Duration settle) {
        return new VersionProvisioner(
                context, manifests, checker, context.clock().now().plus(settle));
    }

    /** How far the stated version is. */
    public enum State {
        /** Nothing is stated. */
        IDLE,
        /** The manifest is being drawn. */
        MANIFEST,
        /** Chunks are being drawn. */
        FETCHING,
        /** Whole files are being checked. */
        CHECKING,
        /** The version is held whole. */
        WHOLE,
        /** The version does not fit beside those that must stay. */
        CACHE_FULL,
        /** The disk failed or is full. */
        DISK_FAILED
    }

    /** Returns how far the stated version is. */
    public State state() {
        return mState;
    }

    /** Returns the versions that are held whole and checked. */
    public Set<String> completeVersions() {
        return Set.copyOf(mComplete);
    }

    /** Returns the chunks held of the version that is being fetched, and the chunks it has. */
    public int[] progress() {
        VersionFetch fetch = mFetch;
        if (fetch == null) {
            return new int[] {0, 0};
        }
        return new int[] {fetch.heldChunks(), fetch.manifest().chunks().size()};
    }

    /** Takes a version that an earlier process has left whole. */
    public void adoptRecovered(String version) throws IOException {
        boolean isOpened = mDependencies.store().manifest(version).isPresent();
        if (isOpened && mDependencies.store().verify(version)) {
            mComplete.add(version);
        }
    }

    /** Doubts a version that the engine did not take for whole; it is checked again. */
    public void invalidate(String version) {
        mComplete.remove(version);
        mFetch = null;
    }

    /**
     * Goes on towards a version.
     *
     * @param needed digests that must stay in the cache
     */
    public void step(ServiceDocument.Version version, Set<String> needed) {
        if (!version.manifestDigest().equals(mTarget)) {
            retarget(version.manifestDigest());
        }
        if (mComplete.contains(mTarget)) {
            enter(State.WHOLE);
            return;
        }
        if (mRetryAt.compareTo(mDependencies.clock().now()) > 0 || mFetch != null) {
            return;
        }
        Optional<Manifest> manifest = manifest(version);
        if (manifest.isPresent()) {
            fetch(manifest.get(), needed);
        }
    }

    private void retarget(String stated) {
        VersionFetch running = mFetch;
        if (running != null) {
            running.cancel();
        }
        mFetch = null;
        mManifest = null;
        mManifestAttempts = 0;
        mTarget = stated;
    }

    private Optional<Manifest> manifest(ServiceDocument.Version version) {
        Optional<Manifest> held = mDependencies.store().manifest(version.manifestDigest());
        if (held.isPresent()) {
            return held;
        }
        enter(State.MANIFEST);
        if (mManifest == null) {
            mManifest =
                    mManifests.fetch(
                            version, mDependencies.members().get().sameRegion(), mManifestAttempts);
            mManifestAttempts++;
        }
        if (!mManifest.isDone()) {
            return Optional.empty();
        }
        Optional<Manifest> manifest = mManifest.join();
        mManifest = null;
        if (manifest.isEmpty()) {
            pause(MANIFEST_RETRY);
        }
        return manifest;
    }

    private void fetch(Manifest manifest, Set<String> needed) {
        Set<String> kept = new HashSet<>(needed);
        kept.add(mTarget);
        try {
            if (!mDependencies.store().prepare(manifest, kept, formerOf(needed))) {
                enter(State.CACHE_FULL);
                pause(DISK_RETRY);
                return;
            }
        } catch (IOException e) {
            Logger.error(e, "the cache of weights can't be prepared");
            enter(State.DISK_FAILED);
            pause(DISK_RETRY);
            return;
        }
        mComplete.removeIf(version -> mDependencies.store().manifest(version).isEmpty());
        enter(State.FETCHING);
        VersionFetch fetch = VersionFetch.start(manifest, mDependencies);
        mFetch = fetch;
        fetch.outcome().thenAcceptAsync(outcome -> ended(fetch, outcome), mChecker);
    }

    /** What the engine runs is kept anyway, so the former version is the one used before. */
    private static String formerOf(Set<String> needed) {
        return needed.stream().findFirst().orElse("");
    }

    private void ended(VersionFetch fetch, VersionFetch.Outcome outcome) {
        if (outcome == VersionFetch.Outcome.CANCELLED || fetch != mFetch) {
            return;
        }
        if (outcome == VersionFetch.Outcome.DISK_FAILED) {
            enter(State.DISK_FAILED);
            scheduleRetry();
            return;
        }
        enter(State.CHECKING);
        try {
            if (mDependencies.store().verify(fetch.version())) {
                mComplete.add(fetch.version());
            } else {
                Logger.warn("version {} is not whole; it is fetched again", fetch.version());
                scheduleRetry();
            }
        } catch (IOException e) {
            Logger.error(e, "version {} can't be checked", fetch.version());
            enter(State.DISK_FAILED);
            scheduleRetry();
        }
    }

    private synchronized void scheduleRetry() {
        pause(DISK_RETRY);
        mFetch = null;
    }

    private synchronized void pause(Duration pause) {
        mRetryAt = mDependencies.clock().now().plus(pause);
    }

    private void enter(State state) {
        if (mState != state) {
            mState = state;
            Logger.info("version {}: {}", mTarget, state);
        }
    }
}
