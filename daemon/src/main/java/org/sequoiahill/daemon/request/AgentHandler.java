package org.sequoiahill.daemon.request;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.connection.FramedResponse;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.settings.DaemonSettings.AgentSettings;

/** Forwards requests from entries to this agent's endpoint, as far as the gate admits them. */
public final class AgentHandler extends Handler.Abstract.NonBlocking {
    private static final int MAX_BODY_BYTES = 64 << 20;

    /** Bytes reserved at the gate for a body of unknown length, and its maximum size. */
    private static final int UNKNOWN_BODY_BYTES = 1 << 20;

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
        if (mView.current().isOutOfService(mIdentity.dataCentre())) {
            refuse(
                    Refusal.unavailable("data_centre_out", "the data centre is out of service"),
                    response,
                    callback);
            return true;
        }
        long bytes = request.getLength();
        if (bytes > MAX_BODY_BYTES) {
            refuse(
                    Refusal.invalid(
                            413,
                            "body_too_large",
                            "the request body exceeds " + MAX_BODY_BYTES + " bytes"),
                    response,
                    callback);
            return true;
        }
        boolean isExclusive = request.getHeaders().contains(RequestHeaders.ALONE);
        EndpointGate.EnterResult result =
                mGate.enter(bytes < 0 ? UNKNOWN_BODY_BYTES : bytes, isExclusive);
        if (result instanceof EndpointGate.Permit permit) {
            Callback releasing = Callback.from(callback, () -> mGate.release(permit));
            String route = path.substring(prefix.length());
            new EndpointCall(request, FramedResponse.of(request, response), releasing, permit)
                    .start(route);
        } else if (result instanceof EndpointGate.Refused refused) {
            refuse(refusalOf(refused.cause()), response, callback);
        }
        return true;
    }

    private void refuse(
            Refusal refusal, org.eclipse.jetty.server.Response response, Callback callback) {
        putLoadHeader(response);
        refusal.write(response, callback);
    }

    private void putLoadHeader(org.eclipse.jetty.server.Response response) {
        EndpointGate.Load load = mGate.load();
        response.getHeaders().put(RequestHeaders.LOAD, LoadHeader.format(load));
    }

    private static Refusal refusalOf(EndpointGate.RefusalReason cause) {
        return switch (cause) {
            case FULL -> Refusal.unavailable("endpoint_full", "the endpoint has no free capacity");
            case NOT_SERVING ->
                    Refusal.unavailable("endpoint_not_serving", "the endpoint serves no version");
            case LEAVING -> Refusal.unavailable("endpoint_leaving", "the agent is shutting down");
        };
    }

    /** One request to the endpoint, from reading its body to the end of its response. */
    private final class EndpointCall implements HttpForwarder.Listener {
        private final Request mRequest;
        private final org.eclipse.jetty.server.Response mResponse;
        private final Callback mCallback;
        private final EndpointGate.Permit mPermit;
        private final @Nullable String mRequestId;

        EndpointCall(
                Request request,
                org.eclipse.jetty.server.Response response,
                Callback callback,
                EndpointGate.Permit permit) {
            mRequest = request;
            mResponse = response;
            mCallback = callback;
            mPermit = permit;
            mRequestId = request.getHeaders().get(RequestHeaders.REQUEST_ID);
        }

        void start(String route) {
            long length = mRequest.getLength();
            BodyReader.read(mRequest, length < 0 ? UNKNOWN_BODY_BYTES : (int) length)
                    .whenComplete(
                            (body, failure) -> {
                                if (failure != null) {
                                    refuse(
                                            Refusal.invalid(
                                                    400,
                                                    "body_unreadable",
                                                    "the request body is incomplete or too large"));
                                    return;
                                }
                                forward(route, body);
                            });
        }

        private void forward(String route, byte[] body) {
            Optional<Refusal> refusal = mHooks.begin(mRequest);
            if (refusal.isPresent()) {
                refuse(refusal.get());
                return;
            }
            HttpFields.Mutable headers = HttpFields.build(mRequest.getHeaders());
            if (mRequestId != null) {
                headers.put(RequestHeaders.ENDPOINT_REQUEST_ID, mRequestId);
            }
            HttpForwarder.Call call =
                    HttpForwarder.Call.of(
                            mRequest.getMethod(),
                            URI.create(mSettings.engine() + route),
                            headers,
                            ByteBuffer.wrap(body),
                            TIMEOUT);
            mForwarder.send(call, this);
        }

        @Override
        public void onResponse(Response response, Content.Source content) {
            String echoedId = response.getHeaders().get(RequestHeaders.ENDPOINT_REQUEST_ID);
            if (mRequestId != null && echoedId != null && !echoedId.equals(mRequestId)) {
                IOException mismatch =
                        new IOException("the response has the id of another request");
                response.abort(mismatch);
                onFailure(mismatch, false);
                return;
            }
            if (HttpStatus.isServerError(response.getStatus())) {
                mGate.responseFailed(mPermit);
            } else {
                mGate.responseStarted(mPermit);
            }
            putLoadHeader(mResponse);
            HttpFields headers =
                    HttpFields.build(response.getHeaders())
                            .put(RequestHeaders.WEIGHTS, mPermit.digest());
            mHooks.relay(
                    mRequest,
                    new ResponseHead(response.getStatus(), headers),
                    content,
                    mResponse,
                    mCallback);
        }

        @Override
        public void onFailure(Throwable failure, boolean isNotRun) {
            mGate.endpointLost(mPermit);
            putLoadHeader(mResponse);
            mHooks.failed(mRequest, failure, isNotRun);
            refuse(
                    isNotRun
                            ? Refusal.unavailable("engine_down", "the engine is unreachable")
                            : Refusal.endpointLost(failure));
        }

        private void refuse(Refusal refusal) {
            refusal.write(mResponse, mCallback);
        }
    }
}
