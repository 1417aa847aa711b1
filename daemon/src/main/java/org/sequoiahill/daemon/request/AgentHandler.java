package org.sequoiahill.daemon.request;

import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.settings.DaemonSettings.AgentSettings;

/** Passes requests of entries through the gate to the endpoint beside this agent. */
public final class AgentHandler extends Handler.Abstract.NonBlocking {
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final Duration TIMEOUT = Duration.ofMinutes(10);

    private final Identity mIdentity;
    private final AgentSettings mSettings;
    private final ConfigurationView mView;
    private final EndpointGate mGate;
    private final HttpForwarder mForwarder;

    private AgentHandler(
            Identity identity,
            AgentSettings settings,
            ConfigurationView view,
            EndpointGate gate,
            HttpForwarder forwarder) {
        mIdentity = identity;
        mSettings = settings;
        mView = view;
        mGate = gate;
        mForwarder = forwarder;
    }

    /** Returns the handler of an agent's data address. */
    public static AgentHandler of(
            Identity identity,
            AgentSettings settings,
            ConfigurationView view,
            EndpointGate gate,
            HttpForwarder forwarder) {
        return new AgentHandler(identity, settings, view, gate, forwarder);
    }

    @Override
    public boolean handle(
            Request request, org.eclipse.jetty.server.Response response, Callback callback) {
        String prefix = "/services/" + mSettings.service();
        String path = Request.getPathInContext(request);
        if (!path.startsWith(prefix + "/")) {
            return false;
        }
        if (mView.current().isOut(mIdentity.dataCentre())) {
            Refusal.unavailable("data_centre_out", "the data centre takes no new work")
                    .write(response, callback);
            return true;
        }
        Optional<EndpointGate.Permit> permit = mGate.enter();
        if (permit.isEmpty()) {
            Refusal.unavailable("endpoint_full", "the endpoint takes no request now")
                    .write(response, callback);
            return true;
        }
        Callback leaving = Callback.from(callback, mGate::leave);
        String route = path.substring(prefix.length());
        BodyReader.read(request, MAX_BODY_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                Refusal.invalid(400, "body_unreadable", "the body was cut")
                                        .write(response, leaving);
                                return;
                            }
                            forward(route, permit.get(), request, response, leaving, body);
                        });
        return true;
    }

    private void forward(
            String route,
            EndpointGate.Permit permit,
            Request request,
            org.eclipse.jetty.server.Response response,
            Callback callback,
            byte[] body) {
        HttpForwarder.Call call =
                new HttpForwarder.Call(
                        request.getMethod(),
                        URI.create(mSettings.engine() + route),
                        HttpFields.build(request.getHeaders()),
                        ByteBuffer.wrap(body),
                        TIMEOUT);
        mForwarder.send(
                call,
                new HttpForwarder.Listener() {
                    @Override
                    public void onAnswer(Response answer, Content.Source content) {
                        response.getHeaders().put(RequestHeaders.WEIGHTS, permit.digest());
                        String id = request.getHeaders().get(RequestHeaders.REQUEST_ID);
                        if (id != null) {
                            response.getHeaders().put(RequestHeaders.REQUEST_ID, id);
                        }
                        HttpForwarder.relay(answer, content, response, callback);
                    }

                    @Override
                    public void onFailure(Throwable failure, boolean isNotRun) {
                        Refusal refusal =
                                isNotRun
                                        ? Refusal.unavailable("engine_down", "no engine listens")
                                        : Refusal.outcomeUnknown("the engine was lost");
                        refusal.write(response, callback);
                    }
                });
    }
}
