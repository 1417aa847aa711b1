package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.ManifestReply;
import org.sequoiahill.protocol.gen.ManifestRequest;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;
import org.sequoiahill.protocol.gen.Pieces;
import org.tinylog.Logger;

/**
 * Serves pieces to the agents of an entry's region and to entries of other regions.
 *
 * <p>A requested piece is fetched once, verified, and kept for later requests. It is fetched from
 * the first of these that is known and sends it intact: an agent of the region whose engine serves
 * the version, the entry that is assigned to fetch it from the origin, and the origin itself.
 */
public final class PieceRelay implements Pieces.Iface {
    /** Connections to each peer; the pieces that it serves are distributed over them. */
    private static final int CONNECTIONS_PER_PEER = 4;

    /**
     * An agent that takes longer to serve a piece is not asked again; this leaves time for eight
     * concurrent pieces on its link.
     */
    private static final Duration MAX_HOLDER_LATENCY = Duration.ofMillis(600);

    /** Attempts to fetch an intact piece from the origin for one request. */
    private static final int MAX_ORIGIN_ATTEMPTS = 2;

    private final MonotonicClock mClock;
    private final Identity mIdentity;
    private final Supplier<FleetSnapshot> mSnapshot;
    private final Map<String, String> mRegions;
    private final WeightsOrigin mOrigin;
    private final PieceStore mStore;
    private final PieceClient mClient;
    private final Map<Version, ManifestSlot> mManifests = new ConcurrentHashMap<>();
    private final Map<Piece, CompletableFuture<byte[]>> mInFlight = new ConcurrentHashMap<>();
    private final Set<Version> mPrefetched = ConcurrentHashMap.newKeySet();

    /**
     * Agents that did not serve an intact piece within {@link #MAX_HOLDER_LATENCY}; their links may
     * be slow or broken, so they are not asked again.
     */
    private final Set<HostPort> mSkippedHolders = ConcurrentHashMap.newKeySet();

    /**
     * Entries that failed to serve a version's manifest or a piece of it; they are skipped for that
     * version.
     */
    private final Set<FailedEntry> mFailedEntries = ConcurrentHashMap.newKeySet();

    private PieceRelay(
            Identity identity,
            Supplier<FleetSnapshot> snapshot,
            Map<String, String> regions,
            WeightsOrigin origin,
            PieceStore store,
            ControlClient client,
            MonotonicClock clock) {
        mClock = clock;
        mIdentity = identity;
        mSnapshot = snapshot;
        mRegions = Map.copyOf(regions);
        mOrigin = origin;
        mStore = store;
        mClient = new PieceClient(identity, client);
    }

    /**
     * Returns the relay of one entry.
     *
     * @param regions region of each data centre
     */
    public static PieceRelay of(
            Identity identity,
            Supplier<FleetSnapshot> snapshot,
            Map<String, String> regions,
            WeightsOrigin origin,
            PieceStore store,
            ControlClient client,
            MonotonicClock clock) {
        return new PieceRelay(identity, snapshot, regions, origin, store, client, clock);
    }

    private record Version(String model, long version) {}

    private record Piece(Version version, int number) {}

    private record FailedEntry(Version version, HostPort entry) {}

    /** The manifest of one version, empty until one thread has fetched it. */
    private static final class ManifestSlot {
        private final ReentrantLock mLock = new ReentrantLock();
        private Optional<VersionManifest> mManifest = Optional.empty();
    }

    /**
     * Prefetches this entry's share of each newly published version: the pieces that it fetches
     * from the origin, and those that it serves to the agents of its region.
     *
     * @param worker runs the fetches
     */
    public void prefetch(FleetSnapshot snapshot, Executor worker) {
        snapshot.state()
                .versions()
                .forEach(
                        (model, number) -> {
                            Version version = new Version(model, number);
                            if (mPrefetched.add(version)) {
                                worker.execute(() -> prefetchAssigned(version));
                            }
                        });
    }

    private void prefetchAssigned(Version version) {
        PieceSources sources = PieceSources.of(mSnapshot.get(), mRegions);
        if (sources.origin().isEmpty()) {
            mPrefetched.remove(version);
            return;
        }
        try {
            int pieces = manifest(version, sources).current().pieces();
            for (int number : sources.plan().assignedPieces(mIdentity.vm(), region(), pieces)) {
                prefetchPiece(new Piece(version, number));
            }
        } catch (IOException e) {
            // Agents request the pieces later, and each request retries the fetch.
            Logger.info("can't prefetch {}: {}", version, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void prefetchPiece(Piece piece) throws InterruptedException {
        try {
            get(piece);
        } catch (IOException | CompletionException e) {
            Logger.info("can't prefetch {}: {}", piece, e.toString());
        }
    }

    @Override
    public ManifestReply manifest(ManifestRequest request) {
        ManifestReply reply =
                new ManifestReply().setSender(mIdentity.sender()).setDigests(List.of());
        Version version = new Version(request.getModel(), request.getVersion());
        try {
            PieceSources sources = PieceSources.of(mSnapshot.get(), mRegions);
            reply.setDigests(manifest(version, sources).current().digests());
        } catch (IOException e) {
            Logger.info("can't serve the manifest of {}: {}", version, e.toString());
        }
        return reply;
    }

    @Override
    public PieceReply piece(PieceRequest request) {
        PieceReply reply = new PieceReply().setSender(mIdentity.sender());
        Piece piece =
                new Piece(
                        new Version(request.getModel(), request.getVersion()), request.getPiece());
        try {
            reply.setContent(get(piece));
        } catch (IOException | CompletionException e) {
            Logger.info("can't serve {}: {}", piece, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return reply;
    }

    private byte[] get(Piece piece) throws IOException, InterruptedException {
        Version version = piece.version();
        Optional<byte[]> held =
                mStore.piece(version.model(), version.version(), piece.number(), Duration.ZERO);
        if (held.isPresent()) {
            return held.get();
        }
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        CompletableFuture<byte[]> inFlight = mInFlight.putIfAbsent(piece, result);
        if (inFlight != null) {
            return inFlight.join();
        }
        try {
            byte[] content = fetch(piece);
            mStore.add(version.model(), version.version(), piece.number(), content);
            result.complete(content);
            return content;
        } catch (IOException | RuntimeException e) {
            result.completeExceptionally(e);
            throw e;
        } finally {
            mInFlight.remove(piece);
        }
    }

    private byte[] fetch(Piece piece) throws IOException {
        PieceSources sources = PieceSources.of(mSnapshot.get(), mRegions);
        HostPort origin =
                sources.origin()
                        .orElseThrow(() -> new IOException("the routing table has no origin"));
        VersionManifest manifest = manifest(piece.version(), sources);
        int number = piece.number();
        if (number < 0 || number >= manifest.current().pieces()) {
            throw new IOException("the version has no piece " + number);
        }
        List<VersionManifest.CopySource> copies = copies(piece.version(), sources, origin);
        Optional<byte[]> fromAgent = fetchFromHolder(sources, piece, manifest, copies);
        if (fromAgent.isPresent()) {
            return fromAgent.get();
        }
        Optional<HostPort> entry = fetchingEntry(piece.version(), sources, number);
        if (entry.isPresent()) {
            try {
                return fetchFromPeer(entry.get(), piece, manifest, copies);
            } catch (IOException e) {
                Logger.info(
                        "fetching piece {} from the origin instead of an entry: {}",
                        number,
                        e.toString());
                mFailedEntries.add(new FailedEntry(piece.version(), entry.get()));
            }
        }
        return fetchFromOrigin(origin, piece, manifest, copies);
    }

    /**
     * Returns sources of further copies of a manifest: the entry that fetched it, whose copy may be
     * repaired already, and the origin.
     */
    private List<VersionManifest.CopySource> copies(
            Version version, PieceSources sources, HostPort origin) {
        List<VersionManifest.CopySource> copies = new ArrayList<>();
        sources.fetchingEntry(0, mIdentity.vm())
                .ifPresent(entry -> copies.add(() -> manifestFromEntry(entry, version, sources)));
        copies.add(() -> manifestFromOrigin(origin, version, sources));
        return copies;
    }

    private byte[] fetchFromPeer(
            HostPort peer,
            Piece piece,
            VersionManifest manifest,
            List<VersionManifest.CopySource> copies)
            throws IOException {
        Version version = piece.version();
        int number = piece.number();
        byte[] content =
                mClient.fetchPiece(
                        peer,
                        version.model(),
                        version.version(),
                        number,
                        number % CONNECTIONS_PER_PEER);
        if (!manifest.accepts(number, content, copies)) {
            throw new IOException("piece " + number + " from " + peer + " is corrupt");
        }
        return content;
    }

    /**
     * Fetches a piece from the origin. A corrupt one is fetched once more: it arrives intact, or
     * shows by arriving unchanged that the manifest may be corrupt.
     */
    private byte[] fetchFromOrigin(
            HostPort origin,
            Piece piece,
            VersionManifest manifest,
            List<VersionManifest.CopySource> copies)
            throws IOException {
        Version version = piece.version();
        for (int attempt = 1; attempt <= MAX_ORIGIN_ATTEMPTS; attempt++) {
            byte[] content =
                    mOrigin.piece(origin, version.model(), version.version(), piece.number());
            if (manifest.accepts(piece.number(), content, copies)) {
                return content;
            }
            Logger.info("{} from the origin is corrupt, attempt {}", piece, attempt);
        }
        throw new IOException("piece " + piece.number() + " from the origin is corrupt");
    }

    /**
     * Fetches a piece from an agent of the region whose engine serves the version, if there is one.
     */
    private Optional<byte[]> fetchFromHolder(
            PieceSources sources,
            Piece piece,
            VersionManifest manifest,
            List<VersionManifest.CopySource> copies) {
        int number = piece.number();
        Version version = piece.version();
        List<HostPort> holders =
                sources.holders(region(), version.model(), version.version()).stream()
                        .filter(holder -> !mSkippedHolders.contains(holder))
                        .toList();
        if (holders.isEmpty()) {
            return Optional.empty();
        }
        HostPort holder = holders.get(number % holders.size());
        Duration start = mClock.now();
        try {
            byte[] content = fetchFromPeer(holder, piece, manifest, copies);
            Duration elapsed = mClock.now().minus(start);
            if (elapsed.compareTo(MAX_HOLDER_LATENCY) > 0) {
                Logger.info("{} took {} to serve a piece and is not asked again", holder, elapsed);
                mSkippedHolders.add(holder);
            }
            return Optional.of(content);
        } catch (IOException e) {
            Logger.info("can't fetch piece {} from an agent: {}", number, e.toString());
            mSkippedHolders.add(holder);
            return Optional.empty();
        }
    }

    /**
     * Returns a manifest; one entry fetches it from the origin, and all others from that entry
     * unless it fails.
     */
    private VersionManifest manifest(Version version, PieceSources sources) throws IOException {
        ManifestSlot slot = mManifests.computeIfAbsent(version, key -> new ManifestSlot());
        slot.mLock.lock();
        try {
            if (slot.mManifest.isEmpty()) {
                PieceManifest first = fetchManifest(version, sources);
                slot.mManifest =
                        Optional.of(new VersionManifest(first, () -> forgetFailures(version)));
            }
            return slot.mManifest.orElseThrow();
        } finally {
            slot.mLock.unlock();
        }
    }

    /** Asks those again that may have been skipped because of a corrupt manifest. */
    private void forgetFailures(Version version) {
        mFailedEntries.removeIf(failed -> failed.version().equals(version));
        mSkippedHolders.clear();
    }

    private PieceManifest fetchManifest(Version version, PieceSources sources) throws IOException {
        Optional<HostPort> entry = fetchingEntry(version, sources, 0);
        if (entry.isPresent()) {
            try {
                return manifestFromEntry(entry.get(), version, sources);
            } catch (IOException e) {
                Logger.info(
                        "fetching the manifest of {} from the origin instead of an entry: {}",
                        version,
                        e.toString());
                mFailedEntries.add(new FailedEntry(version, entry.get()));
            }
        }
        HostPort origin =
                sources.origin()
                        .orElseThrow(() -> new IOException("the routing table has no origin"));
        return manifestFromOrigin(origin, version, sources);
    }

    private PieceManifest manifestFromEntry(HostPort entry, Version version, PieceSources sources)
            throws IOException {
        return sources.checked(mClient.fetchManifest(entry, version.model(), version.version()));
    }

    private PieceManifest manifestFromOrigin(HostPort origin, Version version, PieceSources sources)
            throws IOException {
        return sources.checked(mOrigin.manifest(origin, version.model(), version.version()));
    }

    /**
     * Returns the entry to fetch a piece from; empty if this entry has to fetch it from the origin.
     */
    private Optional<HostPort> fetchingEntry(Version version, PieceSources sources, int piece) {
        return sources.fetchingEntry(piece, mIdentity.vm())
                .filter(entry -> !mFailedEntries.contains(new FailedEntry(version, entry)));
    }

    private String region() {
        return mRegions.getOrDefault(mIdentity.dataCentre(), mIdentity.dataCentre());
    }
}
