package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;

/**
 * What the headers of a caller's request say.
 *
 * @param id id of this try, empty where the caller gave none
 * @param key key of the caller's organisation
 * @param timeout time that the caller will wait
 * @param lastEventId last event that the caller has of a stream that it resumes
 * @param prompt what a model is asked to do
 */
public record RequestMetadata(
        String id,
        Optional<String> key,
        Optional<Duration> timeout,
        Optional<String> lastEventId,
        Optional<Prompt> prompt) {
    /**
     * What a model is asked to do.
     *
     * @param model name of the model
     * @param promptTokens tokens to read
     * @param maxAnswerTokens most tokens to write
     */
    public record Prompt(String model, int promptTokens, int maxAnswerTokens) {}
}
