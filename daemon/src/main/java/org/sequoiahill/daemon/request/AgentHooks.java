package org.sequoiahill.daemon.request;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/** Where an agent's calls to its endpoint can be barred, recorded and relayed. */
public interface AgentHooks {
    /** Returns the refusal of a call that may not start; asked after the gate has let it in. */
    Optional<Refusal> begin(Request request);

    /** Relays an answer of the endpoint whose headers have come. */
    void relay(
            Request request,
            Response answer,
            Content.Source content,
            org.eclipse.jetty.server.Response response,
            Callback callback);

    /**
     * Notes that a call which {@link #begin} let pass has failed without an answer.
     *
     * @param isNotRun whether the endpoint has certainly not taken it
     */
    void failed(Request request, Throwable cause, boolean isNotRun);

    /** Returns hooks that let everything pass and copy answers. */
    static AgentHooks none() {
        return new AgentHooks() {
            @Override
            public Optional<Refusal> begin(Request request) {
                return Optional.empty();
            }

            @Override
            public void relay(
                    Request request,
                    Response answer,
                    Content.Source content,
                    org.eclipse.jetty.server.Response response,
                    Callback callback) {
                HttpForwarder.relay(answer, content, response, callback);
            }

            @Override
            public void failed(Request request, Throwable cause, boolean isNotRun) {
                // Nothing is kept.
            }
        };
    }
}
