package org.sequoiahill.daemon.request;

import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Relays a response to the caller and completes the callback at its end. */
@FunctionalInterface
public interface StreamRelay {
    /** Relays a response; called once its headers have arrived. */
    void relay(
            RoutedRequest request,
            Attempt attempt,
            Outcome.Responded responded,
            Destination destination,
            Resumer resumer);

    /**
     * Where a response is relayed to.
     *
     * @param response response to the caller
     * @param callback completed at the end of the response, or failed if it stays incomplete
     */
    record Destination(Response response, Callback callback) {}

    /** Sends a request again to obtain the rest of a stream that failed midway or was parked. */
    @FunctionalInterface
    interface Resumer {
        /**
         * Sends the request to an endpoint of this data centre that serves the same version.
         *
         * @param digest manifest digest that the endpoint must serve
         * @param headers headers to add
         * @param outcome receives the outcome, once
         */
        void resume(String digest, HttpFields headers, Consumer<Outcome> outcome);
    }

    /** Returns a relay that copies responses with backpressure and never resumes. */
    static StreamRelay copying() {
        return (request, attempt, responded, destination, resumer) ->
                HttpForwarder.relay(
                        responded.response(),
                        responded.content(),
                        destination.response(),
                        destination.callback());
    }
}
