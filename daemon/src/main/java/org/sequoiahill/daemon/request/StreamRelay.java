package org.sequoiahill.daemon.request;

import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Passes an answer on to the caller and completes the callback at its end. */
@FunctionalInterface
public interface StreamRelay {
    /** Relays an answer whose headers have come. */
    void relay(
            RoutedRequest request,
            Attempt attempt,
            Outcome.Answered answered,
            Destination destination,
            Resumer resumer);

    /**
     * Where an answer goes.
     *
     * @param response response to the caller
     * @param endStream to be completed at the end of the answer or failed where it can't be given
     *     whole
     */
    record Destination(Response response, Callback callback) {}

    /** Sends the same request again, for the rest of an answer that broke off. */
    @FunctionalInterface
    interface Resumer {
        /**
         * Sends the request to another endpoint that serves the same weights.
         *
         * @param digest manifest digest that the endpoint must serve
         * @param headers headers to add
         * @param outcome takes what becomes of it, once
         */
        void resume(String digest, HttpFields headers, Consumer<Outcome> outcome);
    }

    /** Returns a relay that copies with backpressure and resumes nothing. */
    static StreamRelay copying() {
        return (request, attempt, answered, destination, resumer) ->
                HttpForwarder.relay(
                        answered.answer(),
                        answered.content(),
                        destination.response(),
                        destination.callback());
    }
}
