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
    private final AgentHooks mHooks;

    private AgentHandler(
            Identity identity,
            AgentSettings settings,
            ConfigurationView view,
            EndpointGate gate,
            HttpForwarder forwarder,
            AgentHooks hooks) {
        mIdentity = identity;
        mSettings = settings;
        mView = view;
        mGate = gate;
        mForwarder = forwarder;
        mHooks = hooks;
    }

    /** Returns the handler of an agent's data address. */
    public static AgentHandler of(
            Identity identity,
            AgentSettings settings,
            ConfigurationView view,
            EndpointGate gate,
            HttpForwarder forwarder,
            AgentHooks hooks) {
        return new AgentHandler(identity, settings, view, gate, forwarder, hooks);
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
        String route = path.substring(prefix.length());
        Callback leaving = Callback.from(callback, mGate::leave);
        new EndpointCall(request, response, leaving, permit.get()).start(route);
        return true;
    }

    /** One call to the endpoint, from its body to the end of its answer. */
    private final class EndpointCall implements HttpForwarder.Listener {
        private final Request mRequest;
        private final org.eclipse.jetty.server.Response mResponse;
        private final Callback mCallback;
        private final EndpointGate.Permit mPermit;

        EndpointCall(
                Request request,
                org.eclipse.jetty.server.Response response,
                Callback callback,
                EndpointGate.Permit permit) {
            mRequest = request;
            mResponse = response;
            mCallback = callback;
            mPermit = permit;
        }

        void start(String route) {
            BodyReader.read(mRequest, MAX_BODY_BYTES)
                    .whenComplete(
                            (body, failure) -> {
                                if (failure != null) {
                                    refuse(Refusal.invalid(400, "body_unreadable", "cut short"));
                                    return;
                                }
                                forward(route, body);
                            });
        }

        private void forward(String route, byte[] body) {
            Optional<Refusal> barred = mHooks.begin(mRequest);
            if (barred.isPresent()) {
                refuse(barred.get());
                return;
            }
            HttpForwarder.Call call =
                    new HttpForwarder.Call(
                            mRequest.getMethod(),
                            URI.create(mSettings.engine() + route),
                            HttpFields.build(mRequest.getHeaders()),
                            ByteBuffer.wrap(body),
                            TIMEOUT);
            mForwarder.send(call, this);
        }

        @Override
        public void onAnswer(Response answer, Content.Source content) {
            mResponse.getHeaders().put(RequestHeaders.WEIGHTS, mPermit.digest());
            String id = mRequest.getHeaders().get(RequestHeaders.REQUEST_ID);
            if (id != null) {
                mResponse.getHeaders().put(RequestHeaders.REQUEST_ID, id);
            }
            mHooks.relay(mRequest, answer, content, mResponse, mCallback);
        }

        @Override
        public void onFailure(Throwable failure, boolean isNotRun) {
            mHooks.failed(mRequest, failure, isNotRun);
            refuse(
                    isNotRun
                            ? Refusal.unavailable("engine_down", "no engine listens")
                            : Refusal.outcomeUnknown("the engine was lost"));
        }

        private void refuse(Refusal refusal) {
            refusal.write(mResponse, mCallback);
        }
    }
}
