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

/** Passes requests of entries through the gate to the endpoint beside this agent. */
public final class AgentHandler extends Handler.Abstract.NonBlocking {
    private static final int MAX_BODY_BYTES = 64 << 20;

    /** Bytes that a body of unknown length is given. */
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
                    Refusal.unavailable("data_centre_out", "the data centre takes no new work"),
                    response,
                    callback);
            return true;
        }
        long bytes = request.getLength();
        if (bytes > MAX_BODY_BYTES) {
            refuse(Refusal.invalid(413, "body_too_large", "too large"), response, callback);
            return true;
        }
        boolean isAlone = request.getHeaders().contains(RequestHeaders.ALONE);
        EndpointGate.Entrance entrance =
                mGate.enter(bytes < 0 ? UNKNOWN_BODY_BYTES : bytes, isAlone);
        if (entrance instanceof EndpointGate.Permit permit) {
            Callback leaving = Callback.from(callback, () -> mGate.leave(permit));
            String route = path.substring(prefix.length());
            new EndpointCall(request, FramedResponse.of(request, response), leaving, permit)
                    .start(route);
        } else if (entrance instanceof EndpointGate.Refused refused) {
            refuse(refusalOf(refused.cause()), response, callback);
        }
        return true;
    }

    private void refuse(
            Refusal refusal, org.eclipse.jetty.server.Response response, Callback callback) {
        tellLoad(response);
        refusal.write(response, callback);
    }

    private void tellLoad(org.eclipse.jetty.server.Response response) {
        EndpointGate.Load load = mGate.load();
        response.getHeaders().put(RequestHeaders.LOAD, LoadHeader.format(load));
    }

    private static Refusal refusalOf(EndpointGate.Closed cause) {
        return switch (cause) {
            case FULL -> Refusal.unavailable("endpoint_full", "the endpoint bears no more now");
            case NOT_SERVING ->
                    Refusal.unavailable("endpoint_not_serving", "no weights are served");
            case LEAVING -> Refusal.unavailable("endpoint_leaving", "the endpoint is stopping");
        };
    }

    /** One call to the endpoint, from its body to the end of its answer. */
    private final class EndpointCall implements HttpForwarder.Listener {
        private final Request mRequest;
        private final org.eclipse.jetty.server.Response mResponse;
        private final Callback mCallback;
        private final EndpointGate.Permit mPermit;
        private final @Nullable String mId;

        EndpointCall(
                Request request,
                org.eclipse.jetty.server.Response response,
                Callback callback,
                EndpointGate.Permit permit) {
            mRequest = request;
            mResponse = response;
            mCallback = callback;
            mPermit = permit;
            mId = request.getHeaders().get(RequestHeaders.REQUEST_ID);
        }

        void start(String route) {
            long length = mRequest.getLength();
            BodyReader.read(mRequest, length < 0 ? UNKNOWN_BODY_BYTES : (int) length)
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
            HttpFields.Mutable headers = HttpFields.build(mRequest.getHeaders());
            if (mId != null) {
                headers.put(RequestHeaders.ENDPOINT_REQUEST_ID, mId);
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
        public void onAnswer(Response answer, Content.Source content) {
            String echoed = answer.getHeaders().get(RequestHeaders.ENDPOINT_REQUEST_ID);
            if (mId != null && echoed != null && !echoed.equals(mId)) {
                IOException crossed = new IOException("the answer belongs to another request");
                answer.abort(crossed);
                onFailure(crossed, false);
                return;
            }
            if (HttpStatus.isServerError(answer.getStatus())) {
                mGate.failed(mPermit);
            } else {
                mGate.answered(mPermit);
            }
            tellLoad(mResponse);
            HttpFields headers =
                    HttpFields.build(answer.getHeaders())
                            .put(RequestHeaders.WEIGHTS, mPermit.digest());
            mHooks.relay(
                    mRequest,
                    new AnswerHead(answer.getStatus(), headers),
                    content,
                    mResponse,
                    mCallback);
        }

        @Override
        public void onFailure(Throwable failure, boolean isNotRun) {
            mGate.lost(mPermit);
            tellLoad(mResponse);
            mHooks.failed(mRequest, failure, isNotRun);
            refuse(
                    isNotRun
                            ? Refusal.unavailable("engine_down", "no engine listens")
                            : Refusal.endpointLost(failure));
        }

        private void refuse(Refusal refusal) {
            refusal.write(mResponse, mCallback);
        }
    }
}
