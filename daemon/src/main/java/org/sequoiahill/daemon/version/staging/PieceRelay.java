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
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.fleet.FleetPicture;
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
    private static final int LANES = 4;

    /**
     * Time in which an agent gives a piece that is to be asked again: eight on its link at once.
     */
    private static final Duration HOLDER_BOUND = Duration.ofMillis(600);

    private final MonotonicClock mClock;
    private final Identity mIdentity;
    private final Supplier<FleetPicture> mPicture;
    private final Map<String, String> mRegions;
    private final WeightsOrigin mOrigin;
    private final PieceStore mStore;
    private final PieceCalls mCalls;
    private final Map<Version, PieceManifest> mManifests = new ConcurrentHashMap<>();
    private final Map<Piece, CompletableFuture<byte[]>> mComing = new ConcurrentHashMap<>();
    private final Set<Version> mDrawn = ConcurrentHashMap.newKeySet();

    /** Agents that gave no piece, or not in time; their links may be narrow or cut. */
    private final Set<HostPort> mPoorHolders = ConcurrentHashMap.newKeySet();

    private PieceRelay(
            Identity identity,
            Supplier<FleetPicture> picture,
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
        mCalls = new PieceCalls(identity, client);
    }

    /**
     * Returns the relay of one entry.
     *
     * @param regions region of each data centre
     */
    public static PieceRelay of(
            Identity identity,
            Supplier<FleetPicture> picture,
            Map<String, String> regions,
            WeightsOrigin origin,
            PieceStore store,
            ControlClient client,
            MonotonicClock clock) {
        return new PieceRelay(identity, picture, regions, origin, store, client, clock);
    }

    private record Version(String model, long version) {}

    private record Piece(Version version, int number) {}

    /**
     * Draws this entry's part of each newly named version at once, so that the origin is needed for
     * as short a time as its link allows.
     *
     * @param worker thread that draws
     */
    public void drawAhead(FleetPicture picture, Executor worker) {
        picture.state()
                .versions()
                .forEach(
                        (model, number) -> {
                            Version version = new Version(model, number);
                            if (mDrawn.add(version)) {
                                worker.execute(() -> drawOwn(version));
                            }
                        });
    }

    private void drawOwn(Version version) {
        try {
            FleetPieces from = FleetPieces.of(mPicture.get(), mRegions);
            if (from.origin().isEmpty()) {
                mDrawn.remove(version);
                return;
            }
            PieceManifest manifest = manifest(version, from.origin().get());
            for (int number = 0; number < manifest.pieces(); number++) {
                if (from.plan().drawer(number).equals(Optional.of(mIdentity.vm()))) {
                    get(new Piece(version, number));
                }
            }
        } catch (IOException | CompletionException e) {
            // Agents ask for the rest, and each ask tries again.
            Logger.info("{} can't be drawn ahead: {}", version, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public ManifestReply manifest(ManifestRequest request) {
        ManifestReply reply =
                new ManifestReply().setSender(mIdentity.sender()).setDigests(List.of());
        Version version = new Version(request.getModel(), request.getVersion());
        try {
            HostPort origin =
                    FleetPieces.of(mPicture.get(), mRegions)
                            .origin()
                            .orElseThrow(() -> new IOException("no origin is known"));
            reply.setDigests(manifest(version, origin).digests());
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
        CompletableFuture<byte[]> other = mComing.putIfAbsent(piece, mine);
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
            mComing.remove(piece);
        }
    }

    private byte[] fetch(Piece piece) throws IOException {
        FleetPieces from = FleetPieces.of(mPicture.get(), mRegions);
        HostPort origin = from.origin().orElseThrow(() -> new IOException("no origin is known"));
        PieceManifest manifest = manifest(piece.version(), origin);
        int number = piece.number();
        if (number < 0 || number >= manifest.pieces()) {
            throw new IOException("the version has no piece " + number);
        }
        Optional<byte[]> near = fromHolder(from, manifest, number);
        if (near.isPresent()) {
            return near.get();
        }
        Optional<String> drawer =
                from.plan().drawer(number).filter(name -> !name.equals(mIdentity.vm()));
        if (drawer.isPresent() && from.entries().containsKey(drawer.get())) {
            HostPort peer = from.entries().get(drawer.get());
            try {
                return mCalls.ask(peer, manifest, number, number % LANES);
            } catch (IOException e) {
                Logger.info("piece {} is drawn here instead: {}", number, e.toString());
            }
        }
        byte[] content = mOrigin.piece(origin, manifest.model(), manifest.version(), number);
        return manifest.checked(number, content, origin);
    }

    /** Asks an agent of the region that serves the version, if there is one. */
    private Optional<byte[]> fromHolder(FleetPieces from, PieceManifest manifest, int number) {
        String dataCentre = mIdentity.dataCentre();
        String region = mRegions.getOrDefault(dataCentre, dataCentre);
        List<HostPort> holders =
                from.holders(region, manifest.model(), manifest.version()).stream()
                        .filter(holder -> !mPoorHolders.contains(holder))
                        .toList();
        if (holders.isEmpty()) {
            return Optional.empty();
        }
        HostPort holder = holders.get(number % holders.size());
        Duration askedAt = mClock.now();
        try {
            byte[] content = mCalls.ask(holder, manifest, number, number % LANES);
            Duration took = mClock.now().minus(askedAt);
            if (took.compareTo(HOLDER_BOUND) > 0) {
                Logger.info("{} needed {} for a piece and is not asked again", holder, took);
                mPoorHolders.add(holder);
            }
            return Optional.of(content);
        } catch (IOException e) {
            Logger.info("piece {} is asked elsewhere: {}", number, e.toString());
            mPoorHolders.add(holder);
            return Optional.empty();
        }
    }

    private PieceManifest manifest(Version version, HostPort origin) throws IOException {
        PieceManifest known = mManifests.get(version);
        if (known == null) {
            known = mOrigin.manifest(origin, version.model(), version.version());
            mManifests.put(version, known);
        }
        return known;
    }
}
