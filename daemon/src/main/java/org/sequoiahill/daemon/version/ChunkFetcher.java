package org.sequoiahill.daemon.version;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.Peer;
import org.sequoiahill.protocol.json.Checked;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.Chunk;
import org.tinylog.Logger;

/** Draws manifests and chunks: the owner from the origin, the others from the owner. */
public final class ChunkFetcher {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int MAX_MANIFEST_BYTES = 16 << 20;

    private final String mVm;
    private final URI mOrigin;
    private final String mService;
    private final HttpClient mClient;
    private final ChunkStore mStore;
    private final Supplier<List<Peer>> mPeers;

    private ChunkFetcher(
            String vm,
            URI origin,
            String service,
            HttpClient client,
            ChunkStore store,
            Supplier<List<Peer>> peers) {
        mVm = vm;
        mOrigin = origin;
        mService = service;
        mClient = client;
        mStore = store;
        mPeers = peers;
    }

    /** Returns a fetcher into a store. */
    public static ChunkFetcher into(
            ChunkStore store,
            String vm,
            URI origin,
            String service,
            HttpClient client,
            Supplier<List<Peer>> peers) {
        return new ChunkFetcher(vm, origin, service, client, store, peers);
    }

    /** Draws the manifest of a version; empty where it can't be had or has another digest. */
    public Optional<Manifest> manifest(ServiceDocument.Version version)
            throws InterruptedException {
        Optional<byte[]> bytes =
                fetch(
                        mClient.newRequest(originUri(version.name(), "manifest.json")),
                        MAX_MANIFEST_BYTES);
        if (bytes.isEmpty()) {
            return Optional.empty();
        }
        if (!Digests.of(bytes.get()).equals(version.manifestDigest())) {
            Logger.warn("manifest of {} has another digest than stated", version.name());
            return Optional.empty();
        }
        Checked<Manifest> manifest =
                Manifest.parse(new String(bytes.get(), java.nio.charset.StandardCharsets.UTF_8));
        if (!manifest.isValid()) {
            Logger.warn("manifest of {}: {}", version.name(), manifest.describeFaults());
        }
        return Optional.ofNullable(manifest.value());
    }

    /** Draws one chunk; returns whether it is held now. */
    public boolean fetchChunk(Manifest manifest, Chunk chunk)
            throws InterruptedException, IOException {
        if (mStore.holds(chunk.digest())) {
            return true;
        }
        List<Peer> ranked = ChunkOwners.rank(chunk.digest(), mPeers.get());
        boolean isOwner = ranked.isEmpty() || ranked.get(0).getVm().equals(mVm);
        Optional<byte[]> bytes =
                isOwner ? fromOrigin(manifest, chunk) : fromPeer(ranked.get(0), chunk);
        return bytes.isPresent() && mStore.offer(manifest, chunk, bytes.get());
    }

    private Optional<byte[]> fromPeer(Peer peer, Chunk chunk) throws InterruptedException {
        URI uri = URI.create("http://" + peer.getDataAddress() + "/chunks/" + chunk.digest());
        return fetch(mClient.newRequest(uri), chunk.bytes());
    }

    private Optional<byte[]> fromOrigin(Manifest manifest, Chunk chunk)
            throws InterruptedException {
        String range = "bytes=" + chunk.offset() + "-" + (chunk.offset() + chunk.bytes() - 1);
        return fetch(
                mClient.newRequest(originUri(manifest.version(), chunk.file()))
                        .headers(headers -> headers.put(HttpHeader.RANGE, range)),
                chunk.bytes());
    }

    private URI originUri(String version, String file) {
        return URI.create(mOrigin + "/" + mService + "/" + version + "/" + file);
    }

    private static Optional<byte[]> fetch(Request request, int maxBytes)
            throws InterruptedException {
        try {
            ContentResponse response =
                    new CompletableResponseListener(request, maxBytes)
                            .send()
                            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            boolean isWhole =
                    response.getStatus() == HttpStatus.OK_200
                            || response.getStatus() == HttpStatus.PARTIAL_CONTENT_206;
            return isWhole ? Optional.of(response.getContent()) : Optional.empty();
        } catch (ExecutionException | TimeoutException e) {
            Logger.debug("{} failed: {}", request.getURI(), e);
            return Optional.empty();
        }
    }
}
