package org.sequoiahill.daemon.request;

import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.directory.DataCentreTable;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.DataCentreSummary;
import org.sequoiahill.protocol.weights.Digests;

/** Answers callers: finds service, route and organisation, and sends the request to an endpoint. */
public final class EntryHandler extends Handler.Abstract.NonBlocking {
    private static final String PREFIX = "/services/";
    private static final String BEARER = "Bearer ";

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mTable;
    private final EndpointChooser mChooser;
    private final HttpForwarder mForwarder;
    private final RandomGenerator mRandom;
    private final AtomicLong mRequests = new AtomicLong();

    private EntryHandler(
            Identity identity,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table,
            HttpForwarder forwarder,
            RandomGenerator random) {
        mIdentity = identity;
        mView = view;
        mDirectory = directory;
        mTable = table;
        mChooser = EndpointChooser.of(random);
        mForwarder = forwarder;
        mRandom = random;
    }

    /** Returns the handler of an entry's data address. */
    public static EntryHandler of(
            Identity identity,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table,
            HttpForwarder forwarder,
            RandomGenerator random) {
        return new EntryHandler(identity, view, directory, table, forwarder, random);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Optional<Target> target = Target.parse(Request.getPathInContext(request));
        if (target.isEmpty()) {
            return refuse(
                    Refusal.invalid(404, "no_such_path", "paths are /services/NAME/ROUTE"),
                    response,
                    callback);
        }
        Optional<ServiceDocument> service = mView.current().service(target.get().service());
        if (service.isEmpty()) {
            return refuse(
                    Refusal.invalid(404, "no_such_service", "no document states this service"),
                    response,
                    callback);
        }
        Optional<ServiceDocument.Route> route = service.get().routeByPath(target.get().route());
        if (route.isEmpty()) {
            return refuse(
                    Refusal.invalid(404, "no_such_route", "the service has no such route"),
                    response,
                    callback);
        }
        if (!isKnownCaller(service.get(), request)) {
            return refuse(
                    Refusal.invalid(401, "unknown_caller", "the bearer token is not known"),
                    response,
                    callback);
        }
        readAndDispatch(service.get(), route.get(), request, response, callback);
        return true;
    }

    private void readAndDispatch(
            ServiceDocument service,
            ServiceDocument.Route route,
            Request request,
            Response response,
            Callback callback) {
        int limit = (int) service.limits().requestBytes();
        if (request.getLength() > limit) {
            refuse(tooLarge(limit), response, callback);
            return;
        }
        CompletableFuture<byte[]> body = BodyReader.read(request, limit);
        body.whenComplete(
                (bytes, failure) -> {
                    if (failure != null) {
                        refuse(tooLarge(limit), response, callback);
                        return;
                    }
                    new Exchange(service, route, request, response, callback, bytes).dispatch();
                });
    }

    private static boolean refuse(Refusal refusal, Response response, Callback callback) {
        refusal.write(response, callback);
        return true;
    }

    private static Refusal tooLarge(int limit) {
        return Refusal.invalid(413, "body_too_large", "a body has at most " + limit + " bytes");
    }

    private static boolean isKnownCaller(ServiceDocument service, Request request) {
        String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        return authorization != null
                && authorization.startsWith(BEARER)
                && service.organisationByKeyDigest(
                                Digests.of(authorization.substring(BEARER.length())))
                        .isPresent();
    }

    private record Target(String service, String route) {
        static Optional<Target> parse(String path) {
            if (!path.startsWith(PREFIX)) {
                return Optional.empty();
            }
            int slash = path.indexOf('/', PREFIX.length());
            if (slash < 0) {
                return Optional.empty();
            }
            return Optional.of(
                    new Target(path.substring(PREFIX.length(), slash), path.substring(slash)));
        }
    }

    /** One caller's request from its dispatch to its answer. */
    private final class Exchange {
        private static final int MAX_TRIES = 3;

        private final ServiceDocument mService;
        private final ServiceDocument.Route mRoute;
        private final Request mRequest;
        private final Response mResponse;
        private final Callback mCallback;
        private final byte[] mBody;
        private final List<String> mTried = new ArrayList<>();

        Exchange(
                ServiceDocument service,
                ServiceDocument.Route route,
                Request request,
                Response response,
                Callback callback,
                byte[] body) {
            mService = service;
            mRoute = route;
            mRequest = request;
            mResponse = response;
            mCallback = callback;
            mBody = body;
        }

        void dispatch() {
            boolean isOut = mView.current().isOut(mIdentity.dataCentre());
            List<Endpoint> endpoints =
                    isOut ? List.of() : untried(mDirectory.serving(mService.service()));
            Optional<Endpoint> endpoint = mChooser.choose(endpoints);
            if (endpoint.isPresent() && mTried.size() < MAX_TRIES) {
                sendTo(endpoint.get());
                return;
            }
            passToOtherDataCentre();
        }

        private List<Endpoint> untried(List<Endpoint> endpoints) {
            return endpoints.stream().filter(e -> !mTried.contains(e.vm())).toList();
        }

        private void sendTo(Endpoint endpoint) {
            mTried.add(endpoint.vm());
            endpoint.began();
            Callback counted = Callback.from(mCallback, endpoint::ended);
            send(
                    endpoint.announcement().getDataAddress(),
                    HttpFields.build(mRequest.getHeaders()),
                    counted,
                    () -> {
                        endpoint.ended();
                        dispatch();
                    });
        }

        private void passToOtherDataCentre() {
            List<DataCentreSummary> others = mTable.offering(mService.service());
            if (others.isEmpty() || mRequest.getHeaders().contains(RequestHeaders.HOP)) {
                Refusal.unavailable("no_endpoint", "no endpoint takes the request now")
                        .write(mResponse, mCallback);
                return;
            }
            DataCentreSummary other = others.get(mRandom.nextInt(others.size()));
            HttpFields.Mutable headers = HttpFields.build(mRequest.getHeaders());
            headers.put(RequestHeaders.HOP, mIdentity.dataCentre());
            send(
                    other.getDataAddress(),
                    headers,
                    mCallback,
                    () ->
                            Refusal.unavailable("no_endpoint", "no data centre has room now")
                                    .write(mResponse, mCallback));
        }

        private void send(
                String address, HttpFields.Mutable headers, Callback callback, Runnable onNotRun) {
            String id = mIdentity.incarnation() + "-" + mRequests.incrementAndGet();
            headers.put(RequestHeaders.REQUEST_ID, id);
            Duration deadline = mService.limits().deadline();
            URI target = URI.create("http://" + address + mRequest.getHttpURI().getPathQuery());
            HttpForwarder.Call call =
                    new HttpForwarder.Call(
                            mRequest.getMethod(),
                            target,
                            headers,
                            ByteBuffer.wrap(mBody),
                            deadline);
            mForwarder.send(call, new Relay(callback, onNotRun));
        }

        /** Relays an answer, or tries elsewhere where the request has not run. */
        private final class Relay implements HttpForwarder.Listener {
            private final Callback mEnd;
            private final Runnable mOnNotRun;

            Relay(Callback end, Runnable onNotRun) {
                mEnd = end;
                mOnNotRun = onNotRun;
            }

            @Override
            public void onAnswer(org.eclipse.jetty.client.Response answer, Content.Source content) {
                if (answer.getHeaders().contains(RequestHeaders.NOT_RUN)) {
                    Content.Source.consumeAll(content, Callback.from(mOnNotRun));
                    return;
                }
                HttpForwarder.relay(answer, content, mResponse, mEnd);
            }

            @Override
            public void onFailure(Throwable failure, boolean isNotRun) {
                if (isNotRun || mRoute.idempotent()) {
                    mOnNotRun.run();
                    return;
                }
                Refusal.outcomeUnknown("the endpoint was lost: " + failure.getMessage())
                        .write(mResponse, mEnd);
            }
        }
    }
}
