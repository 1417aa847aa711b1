package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Metadata of a caller's request, parsed from its headers.
 *
 * @param id id of this request, empty if the caller sent none
 * @param key key of the caller's organisation, if sent; not verified
 * @param timeout time for which the caller waits for a response, if stated
 * @param lastEventId if the caller resumes a stream, id of the last event that it received
 * @param modelRequest model and size of the request, if the headers state a model
 */
public record RequestMetadata(
        String id,
        Optional<String> key,
        Optional<Duration> timeout,
        Optional<String> lastEventId,
        Optional<ModelRequest> modelRequest) {
    /**
     * Model and size of a model request; a size that isn't stated is 0.
     *
     * @param model name of the model
     * @param promptTokens tokens in the prompt
     * @param maxAnswerTokens maximum number of tokens to generate
     * @param sharedParts ids of the parts of the prompt that other requests may contain too
     */
    public record ModelRequest(
            String model, int promptTokens, int maxAnswerTokens, List<String> sharedParts) {
        /** Creates a model request with an unmodifiable copy of the list. */
        public ModelRequest {
            sharedParts = List.copyOf(sharedParts);
        }
    }
}
