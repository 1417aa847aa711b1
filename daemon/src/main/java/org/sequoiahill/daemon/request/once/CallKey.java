package org.sequoiahill.daemon.request.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.sequoiahill.daemon.request.RoutedRequest;
import org.sequoiahill.protocol.gen.ClaimKey;
import org.sequoiahill.protocol.weights.Digests;

/**
 * Identifies a request that must run at most once, and its content.
 *
 * @param claim key of the claim
 * @param contentDigest SHA-256 of method, path with query, and body
 */
record CallKey(ClaimKey claim, ByteBuffer contentDigest) {
    static CallKey of(RoutedRequest request, String idempotencyKey) {
        ClaimKey claim =
                new ClaimKey(
                        request.organisation().name(),
                        request.service().service(),
                        request.route().path(),
                        idempotencyKey);
        MessageDigest digest = Digests.sha256();
        digest.update(
                (request.method() + " " + request.pathQuery() + "\n")
                        .getBytes(StandardCharsets.UTF_8));
        digest.update(request.body().slice());
        return new CallKey(claim, ByteBuffer.wrap(digest.digest()).asReadOnlyBuffer());
    }

    /** Returns the digest of the claim's key, which tickets carry. */
    String keyDigest() {
        return Digests.of(
                String.join(
                        "\n",
                        claim.getOrganisation(),
                        claim.getServiceName(),
                        claim.getRoute(),
                        claim.getIdempotencyKey()));
    }
}
