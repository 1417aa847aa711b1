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

/**
 * Fetches the configured version into the cache and verifies it; one thread calls {@link #step}
 * periodically.
 */
public final class VersionProvisioner {
    private static final Duration MANIFEST_RETRY = Duration.ofMillis(200);
    private static final Duration DISK_RETRY = Duration.ofSeconds(5);

    private final VersionFetch.Dependencies mDependencies;
    private final ManifestClient mManifests;
    private final Executor mVerifier;
    private final Set<String> mComplete = ConcurrentHashMap.newKeySet();
    private Duration mRetryAt;
    private int mManifestAttempts;
    private String mTarget = "";
    private volatile State mState = State.IDLE;
    private @Nullable CompletableFuture<Optional<Manifest>> mManifest;
    private volatile @Nullable VersionFetch mFetch;

    private VersionProvisioner(
            VersionFetch.Dependencies dependencies,
            ManifestClient manifests,
            Executor verifier,
            Duration firstStepAt) {
        mDependencies = dependencies;
        mManifests = manifests;
        mVerifier = verifier;
        mRetryAt = firstStepAt;
    }

    /**
     * Returns a provisioner.
     *
     * @param verifier runs the verification of complete versions
     * @param settleTime time to wait after the start, until the members of the data centre are
     *     expected to be known
     */
    public static VersionProvisioner of(
            VersionFetch.Dependencies dependencies,
            ManifestClient manifests,
            Executor verifier,
            Duration settleTime) {
        return new VersionProvisioner(
                dependencies, manifests, verifier, dependencies.clock().now().plus(settleTime));
    }

    /** Progress of the configured version. */
    public enum State {
        /** No version is configured. */
        IDLE,
        /** The manifest is being fetched. */
        MANIFEST,
        /** Chunks are being fetched. */
        FETCHING,
        /** The complete files are being verified. */
        CHECKING,
        /** The version is complete and verified. */
        WHOLE,
        /** The version does not fit into the cache beside those that must stay. */
        CACHE_FULL,
        /** The disk failed or is full. */
        DISK_FAILED
    }

    /** Returns the progress of the configured version. */
    public State state() {
        return mState;
    }

    /** Returns the digests of the versions that are complete and verified. */
    public Set<String> completeVersions() {
        return Set.copyOf(mComplete);
    }

    /**
     * Returns the number of held chunks and the number of all chunks of the configured version
     * while it is being fetched and after that; both are zero if this process has not started to
     * fetch it, or has to start again.
     */
    public int[] progress() {
        VersionFetch fetch = mFetch;
        if (fetch == null) {
            return new int[] {0, 0};
        }
        return new int[] {fetch.heldChunks(), fetch.manifest().chunks().size()};
    }

    /** Adopts a version that an earlier process left in the cache, if it is complete. */
    public void adoptRecovered(String version) throws IOException {
        boolean isOpen = mDependencies.store().manifest(version).isPresent();
        if (isOpen && mDependencies.store().verify(version)) {
            mComplete.add(version);
        }
    }

    /**
     * Marks a version as unverified, because the engine did not load it as ordered; it is fetched
     * as needed and verified again.
     */
    public void invalidate(String version) {
        mComplete.remove(version);
        mFetch = null;
    }

    /**
     * Performs the next step towards a version.
     *
     * @param pinned digests of the versions that must stay in the cache
     */
    public void step(ServiceDocument.Version version, Set<String> pinned) {
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
            fetch(manifest.get(), pinned);
        }
    }

    private void retarget(String target) {
        VersionFetch previous = mFetch;
        if (previous != null) {
            previous.cancel();
        }
        mFetch = null;
        mManifest = null;
        mManifestAttempts = 0;
        mTarget = target;
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
                            version,
                            mDependencies.members().get().sameDataCentre(),
                            mManifestAttempts);
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

    private void fetch(Manifest manifest, Set<String> pinned) {
        Set<String> protectedVersions = new HashSet<>(pinned);
        protectedVersions.add(mTarget);
        try {
            if (!mDependencies.store().prepare(manifest, protectedVersions, formerOf(pinned))) {
                enter(State.CACHE_FULL);
                pause(DISK_RETRY);
                return;
            }
        } catch (IOException e) {
            Logger.error(e, "can't prepare the weights cache for the configured version");
            enter(State.DISK_FAILED);
            pause(DISK_RETRY);
            return;
        }
        mComplete.removeIf(version -> mDependencies.store().manifest(version).isEmpty());
        enter(State.FETCHING);
        VersionFetch fetch = VersionFetch.start(manifest, mDependencies);
        mFetch = fetch;
        fetch.outcome().thenAcceptAsync(outcome -> onFetchEnd(fetch, outcome), mVerifier);
    }

    /**
     * Returns the version to evict last: any pinned one, or an empty string if there is none.
     * Pinned versions are never evicted, so the order of eviction is by last use alone.
     */
    private static String formerOf(Set<String> pinned) {
        return pinned.stream().findFirst().orElse("");
    }

    private void onFetchEnd(VersionFetch fetch, VersionFetch.Outcome outcome) {
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
                Logger.warn(
                        "version {} is incomplete or corrupt; fetching it again", fetch.version());
                scheduleRetry();
            }
        } catch (IOException e) {
            Logger.error(e, "can't verify version {}", fetch.version());
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
