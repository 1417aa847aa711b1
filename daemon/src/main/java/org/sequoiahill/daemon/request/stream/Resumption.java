package org.sequoiahill.daemon.request.stream;

import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.request.Outcome;
import org.sequoiahill.daemon.request.RequestHeaders;
import org.sequoiahill.daemon.request.StreamRelay;

/**
 * Resumes a stream after a number of tokens, at an endpoint that serves the same version.
 *
 * @param digest manifest digest of the version; empty if it is unknown
 * @param resumer sends the request again
 */
record Resumption(String digest, StreamRelay.Resumer resumer) {
    /**
     * Header with the number of tokens after which the stream continues; echoed by the endpoint.
     */
    static final String RESUME_FROM = "Sequoia-Resume-From";

    static Resumption of(HttpFields headers, StreamRelay.Resumer resumer) {
        String digest = headers.get(RequestHeaders.WEIGHTS);
        return new Resumption(digest == null ? "" : digest, resumer);
    }

    /**
     * Resumes the stream.
     *
     * @param tokens number of tokens received from endpoints so far
     * @param rest receives the rest of the stream, or empty if no endpoint can resume it now
     */
    void resumeAfter(long tokens, Consumer<Optional<Content.Source>> rest) {
        if (digest.isEmpty()) {
            rest.accept(Optional.empty());
            return;
        }
        HttpFields headers = HttpFields.build().put(RESUME_FROM, Long.toString(tokens));
        resumer.resume(digest, headers, outcome -> rest.accept(remainderOf(outcome, tokens)));
    }

    private Optional<Content.Source> remainderOf(Outcome outcome, long tokens) {
        if (!(outcome instanceof Outcome.Responded responded)) {
            return Optional.empty();
        }
        Response response = responded.response();
        boolean isResumed =
                response.getStatus() == HttpStatus.OK_200
                        && digest.equals(response.getHeaders().get(RequestHeaders.WEIGHTS))
                        && Long.toString(tokens).equals(response.getHeaders().get(RESUME_FROM));
        if (!isResumed) {
            Content.Source.consumeAll(responded.content(), Callback.NOOP);
            return Optional.empty();
        }
        return Optional.of(responded.content());
    }
}
