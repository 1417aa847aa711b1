package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
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
 * Gives pieces to the agents of an entry's region and to entries elsewhere.
 *
 * <p>A piece that is asked for is fetched once, checked, and kept for the next who asks: from an
 * agent of the region whose engine serves the version, else from the entry that draws it, else from
 * the origin.
 */
public final class PieceRelay implements Pieces.Iface {
    /** Connections to another daemon that are used in turn. */
    private static final int CONNECTIONS_PER_PEER = 4;

    /**
     * Time in which an agent gives a piece that is to be asked again: eight on its link at once.
     */
    private static final Duration MAX_HOLDER_LATENCY = Duration.ofMillis(600);

    private final MonotonicClock mClock;
    private final Identity mIdentity;
    private final Supplier<FleetSnapshot> mPicture;
    private final Map<String, String> mRegions;
    private final WeightsOrigin mOrigin;
    private final PieceStore mStore;
    private final PieceClient mClient;
    private final Map<Version, PieceManifest> mManifests = new ConcurrentHashMap<>();
    private final Map<Piece, CompletableFuture<byte[]>> mInFlight = new ConcurrentHashMap<>();
    private final Set<Version> mPrefetched = ConcurrentHashMap.newKeySet();

    /** Agents that gave no piece, or not in time; their links may be narrow or cut. */
    private final Set<HostPort> mSlowHolders = ConcurrentHashMap.newKeySet();

    /** Entries that did not give what they draw of a version; they are passed over for it. */
    private final Set<FailedEntry> mFailedEntries = ConcurrentHashMap.newKeySet();

    private final ReentrantLock mManifestLock = new ReentrantLock();

    private PieceRelay(
            Identity identity,
            Supplier<FleetSnapshot> picture,
            Map<String, String> regions,
            WeightsOrigin origin,
            PieceStore store,
            ControlClient client,
            MonotonicClock clock) {
        mClock = clock;
        mIdentity = identity;
        mPicture = picture;
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
            Supplier<FleetSnapshot> picture,
            Map<String, String> regions,
            WeightsOrigin origin,
            PieceStore store,
            ControlClient client,
            MonotonicClock clock) {
        return new PieceRelay(identity, picture, regions, origin, store, client, clock);
    }

    private record Version(String model, long version) {}

    private record Piece(Version version, int number) {}

    private record FailedEntry(Version version, HostPort entry) {}

    /**
     * Brings this entry's part of each newly named version here at once: what it draws from the
     * origin, and what it gives to the agents of its region.
     *
     * @param worker thread that fetches
     */
    public void prefetch(FleetSnapshot picture, Executor worker) {
        picture.state()
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
        PieceSources from = PieceSources.of(mPicture.get(), mRegions);
        if (from.origin().isEmpty()) {
            mPrefetched.remove(version);
            return;
        }
        try {
            int pieces = manifest(version, from).pieces();
            for (int number : from.plan().assignedPieces(mIdentity.vm(), region(), pieces)) {
                prefetchPiece(new Piece(version, number));
            }
        } catch (IOException e) {
            // Agents ask for the pieces, and each ask tries again.
            Logger.info("{} can't be fetched ahead: {}", version, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void prefetchPiece(Piece piece) throws InterruptedException {
        try {
            get(piece);
        } catch (IOException | CompletionException e) {
            Logger.info("{} can't be fetched ahead: {}", piece, e.toString());
        }
    }

    @Override
    public ManifestReply manifest(ManifestRequest request) {
        ManifestReply reply =
                new ManifestReply().setSender(mIdentity.sender()).setDigests(List.of());
        Version version = new Version(request.getModel(), request.getVersion());
        try {
            PieceSources from = PieceSources.of(mPicture.get(), mRegions);
            reply.setDigests(manifest(version, from).digests());
        } catch (IOException e) {
            Logger.info("the manifest of {} can't be given: {}", version, e.toString());
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
            Logger.info("piece {} can't be given: {}", piece, e.toString());
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
        CompletableFuture<byte[]> mine = new CompletableFuture<>();
        CompletableFuture<byte[]> other = mInFlight.putIfAbsent(piece, mine);
        if (other != null) {
            return other.join();
        }
        try {
            byte[] content = fetch(piece);
            mStore.add(version.model(), version.version(), piece.number(), content);
            mine.complete(content);
            return content;
        } catch (IOException | RuntimeException e) {
            mine.completeExceptionally(e);
            throw e;
        } finally {
            mInFlight.remove(piece);
        }
    }

    private byte[] fetch(Piece piece) throws IOException {
        PieceSources from = PieceSources.of(mPicture.get(), mRegions);
        HostPort origin = from.origin().orElseThrow(() -> new IOException("no origin is known"));
        PieceManifest manifest = manifest(piece.version(), from);
        int number = piece.number();
        if (number < 0 || number >= manifest.pieces()) {
            throw new IOException("the version has no piece " + number);
        }
        Optional<byte[]> near = fetchFromHolder(from, manifest, number);
        if (near.isPresent()) {
            return near.get();
        }
        Optional<HostPort> drawer = fetchingEntry(piece.version(), from, number);
        if (drawer.isPresent()) {
            try {
                return mClient.fetchPiece(
                        drawer.get(), manifest, number, number % CONNECTIONS_PER_PEER);
            } catch (IOException e) {
                Logger.info("piece {} is drawn here instead: {}", number, e.toString());
                mFailedEntries.add(new FailedEntry(piece.version(), drawer.get()));
            }
        }
        byte[] content = mOrigin.piece(origin, manifest.model(), manifest.version(), number);
        return manifest.verified(number, content, origin);
    }

    /** Asks an agent of the region that serves the version, if there is one. */
    private Optional<byte[]> fetchFromHolder(
            PieceSources from, PieceManifest manifest, int number) {
        List<HostPort> holders =
                from.holders(region(), manifest.model(), manifest.version()).stream()
                        .filter(holder -> !mSlowHolders.contains(holder))
                        .toList();
        if (holders.isEmpty()) {
            return Optional.empty();
        }
        HostPort holder = holders.get(number % holders.size());
        Duration askedAt = mClock.now();
        try {
            byte[] content =
                    mClient.fetchPiece(holder, manifest, number, number % CONNECTIONS_PER_PEER);
            Duration took = mClock.now().minus(askedAt);
            if (took.compareTo(MAX_HOLDER_LATENCY) > 0) {
                Logger.info("{} needed {} for a piece and is not asked again", holder, took);
                mSlowHolders.add(holder);
            }
            return Optional.of(content);
        } catch (IOException e) {
            Logger.info("piece {} is asked elsewhere: {}", number, e.toString());
            mSlowHolders.add(holder);
            return Optional.empty();
        }
    }

    /** Returns a manifest, which one entry gets from the origin and all others from that one. */
    private PieceManifest manifest(Version version, PieceSources from) throws IOException {
        mManifestLock.lock();
        try {
            PieceManifest known = mManifests.get(version);
            if (known == null) {
                known = fetchManifest(version, from);
                mManifests.put(version, known);
            }
            return known;
        } finally {
            mManifestLock.unlock();
        }
    }

    private PieceManifest fetchManifest(Version version, PieceSources from) throws IOException {
        Optional<HostPort> drawer = fetchingEntry(version, from, 0);
        if (drawer.isPresent()) {
            try {
                return mClient.fetchManifest(drawer.get(), version.model(), version.version());
            } catch (IOException e) {
                Logger.info("the manifest of {} is drawn here: {}", version, e.toString());
                mFailedEntries.add(new FailedEntry(version, drawer.get()));
            }
        }
        HostPort origin = from.origin().orElseThrow(() -> new IOException("no origin is known"));
        return mOrigin.manifest(origin, version.model(), version.version());
    }

    /** Returns the entry to ask for a piece; empty where this one has to draw it. */
    private Optional<HostPort> fetchingEntry(Version version, PieceSources from, int piece) {
        return from.fetchingEntry(piece, mIdentity.vm())
                .filter(entry -> !mFailedEntries.contains(new FailedEntry(version, entry)));
    }

    private String region() {
        return mRegions.getOrDefault(mIdentity.dataCentre(), mIdentity.dataCentre());
    }
}
