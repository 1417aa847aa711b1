package org.sequoiahill.daemon.request;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/** Extension points of {@link AgentHandler}: refuses, records and relays requests. */
public interface AgentHooks {
    /**
     * Returns the refusal of a request that must not start, or empty if it may. Called after the
     * gate has admitted the request and before it is sent to the endpoint.
     */
    Optional<Refusal> begin(Request request);

    /** Relays a response of the endpoint; called once its headers have arrived. */
    void relay(
            Request request,
            Response endpointResponse,
            Content.Source content,
            org.eclipse.jetty.server.Response response,
            Callback callback);

    /**
     * Records that a request that {@link #begin} admitted has failed without a response.
     *
     * @param isNotRun whether the endpoint has certainly not received it
     */
    void failed(Request request, Throwable cause, boolean isNotRun);

    /** Returns hooks that refuse nothing, record nothing and copy responses. */
    static AgentHooks none() {
        return new AgentHooks() {
            @Override
            public Optional<Refusal> begin(Request request) {
                return Optional.empty();
            }

            @Override
            public void relay(
                    Request request,
                    Response endpointResponse,
                    Content.Source content,
                    org.eclipse.jetty.server.Response response,
                    Callback callback) {
                HttpForwarder.relay(endpointResponse, content, response, callback);
            }

            @Override
            public void failed(Request request, Throwable cause, boolean isNotRun) {
                // Nothing is recorded.
            }
        };
    }
}
