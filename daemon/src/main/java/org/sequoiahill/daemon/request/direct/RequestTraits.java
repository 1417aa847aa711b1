package org.sequoiahill.daemon.request.direct;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.request.direct.RequestMetadata.ModelRequest;
import org.sequoiahill.protocol.weights.Digests;

/**
 * Traits of requests: what several requests to a service can have in common and what may crash an
 * endpoint, namely a part of the prompt, or the whole request if it is sent again.
 */
final class RequestTraits {
    /** Length of the digest of a whole request, in bytes. */
    private static final int DIGEST_BYTES = 8;

    private RequestTraits() {}

    /** Returns the traits of a request. */
    static List<String> of(DirectRequest request) {
        List<String> traits = new ArrayList<>();
        traits.add(request.service() + "/request/" + digestOf(request));
        request.metadata()
                .modelRequest()
                .map(ModelRequest::sharedParts)
                .orElse(List.of())
                .forEach(part -> traits.add(request.service() + "/part/" + part));
        return List.copyOf(traits);
    }

    /**
     * Returns the digest of organisation, method, path and body, equal for a request sent again.
     */
    private static String digestOf(DirectRequest request) {
        MessageDigest digest = Digests.sha256();
        String head =
                String.join(
                        "\n",
                        request.organisation().map(Organisation::name).orElse(""),
                        request.method(),
                        request.host(),
                        request.pathAndQuery(),
                        "");
        digest.update(head.getBytes(StandardCharsets.UTF_8));
        digest.update(request.body().slice());
        return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
    }
}
