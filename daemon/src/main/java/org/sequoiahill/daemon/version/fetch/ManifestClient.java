package org.sequoiahill.daemon.version.fetch;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;
import org.tinylog.Logger;

/**
 * Fetches manifests from the agents of the data centre in the order of their rank. An agent whose
 * own rank is reached fetches from the origin, and so does any agent after the last rank.
 */
public final class ManifestClient {
    /** Largest manifest in bytes. */
    public static final int MAX_BYTES = 16 << 20;

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int ATTEMPTS_PER_SOURCE = 10;

    private final HttpClient mClient;
    private final URI mServiceAtOrigin;
    private final String mOwnVm;
    private final ChunkRanking mRanking;

    private ManifestClient(
            HttpClient client, URI serviceAtOrigin, String ownVm, ChunkRanking ranking) {
        mClient = client;
        mServiceAtOrigin = serviceAtOrigin;
        mOwnVm = ownVm;
        mRanking = ranking;
    }

    /**
     * Returns a client; {@code serviceAtOrigin} is the URI at the origin under which the service's
     * versions are.
     */
    public static ManifestClient of(
            HttpClient client, URI serviceAtOrigin, String ownVm, ChunkRanking ranking) {
        return new ManifestClient(client, serviceAtOrigin, ownVm, ranking);
    }

    /**
     * Fetches the manifest of a version; empty if the attempt fails, or the manifest is invalid or
     * has another digest.
     *
     * @param earlierAttempts attempts before this one; after every ten the next in rank is asked
     */
    public CompletableFuture<Optional<Manifest>> fetch(
            ServiceDocument.Version version,
            List<FetchMember> sameDataCentre,
            int earlierAttempts) {
        URI uri = sourceUri(version, sameDataCentre, earlierAttempts / ATTEMPTS_PER_SOURCE);
        return new CompletableResponseListener(
                        mClient.newRequest(uri).timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS),
                        MAX_BYTES)
                .send()
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                Logger.debug("can't fetch the manifest from {}: {}", uri, failure);
                                return Optional.empty();
                            }
                            return check(version, uri, response);
                        });
    }

    private URI sourceUri(
            ServiceDocument.Version version, List<FetchMember> sameDataCentre, int index) {
        List<FetchMember> ranked = mRanking.rank(version.manifestDigest(), sameDataCentre);
        if (index < ranked.size() && !ranked.get(index).vm().equals(mOwnVm)) {
            String address = ranked.get(index).address();
            return URI.create("http://" + address + "/manifests/" + version.manifestDigest());
        }
        return URI.create(mServiceAtOrigin + "/" + version.name() + "/manifest.json");
    }

    private static Optional<Manifest> check(
            ServiceDocument.Version version, URI uri, ContentResponse response) {
        if (response.getStatus() != HttpStatus.OK_200) {
            return Optional.empty();
        }
        byte[] bytes = response.getContent();
        if (!Digests.of(bytes).equals(version.manifestDigest())) {
            Logger.warn(
                    "manifest of {} from {} does not have the configured digest",
                    version.name(),
                    uri);
            return Optional.empty();
        }
        ParseResult<Manifest> manifest = Manifest.parse(new String(bytes, StandardCharsets.UTF_8));
        if (!manifest.isValid()) {
            Logger.warn("manifest of {} is invalid: {}", version.name(), manifest.describeFaults());
        }
        return Optional.ofNullable(manifest.value());
    }
}
