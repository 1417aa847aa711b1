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
 * Goes on with a stream from a token, at an endpoint that serves the same weights.
 *
 * @param digest manifest digest of the weights; empty where it is not known
 * @param resumer sends the request again
 */
record Resumption(String digest, StreamRelay.Resumer resumer) {
    /** Header that names the number of tokens that the caller has. */
    static final String RESUME_FROM = "Sequoia-Resume-From";

    static Resumption of(HttpFields headers, StreamRelay.Resumer resumer) {
        String digest = headers.get(RequestHeaders.WEIGHTS);
        return new Resumption(digest == null ? "" : digest, resumer);
    }

    /** Resumes; tells the rest of the stream, or nothing where no endpoint can go on. */
    void resumeAfter(long tokens, Consumer<Optional<Content.Source>> rest) {
        if (digest.isEmpty()) {
            rest.accept(Optional.empty());
            return;
        }
        HttpFields headers = HttpFields.build().put(RESUME_FROM, Long.toString(tokens));
        resumer.resume(digest, headers, outcome -> rest.accept(remainderOf(outcome, tokens)));
    }

    private Optional<Content.Source> remainderOf(Outcome outcome, long tokens) {
        if (!(outcome instanceof Outcome.Responded answered)) {
            return Optional.empty();
        }
        Response answer = answered.response();
        boolean isSameAnswer =
                answer.getStatus() == HttpStatus.OK_200
                        && digest.equals(answer.getHeaders().get(RequestHeaders.WEIGHTS))
                        && Long.toString(tokens).equals(answer.getHeaders().get(RESUME_FROM));
        if (!isSameAnswer) {
            Content.Source.consumeAll(answered.content(), Callback.NOOP);
            return Optional.empty();
        }
        return Optional.of(answered.content());
    }
}
