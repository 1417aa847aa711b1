package org.sequoiahill.daemon.request;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.connection.FramedResponse;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.weights.Digests;

/** Handles callers' requests: resolves service, route and organisation, and routes the request. */
public final class EntryHandler extends Handler.Abstract.NonBlocking {
    private static final String PREFIX = "/services/";
    private static final String BEARER = "Bearer ";

    private final ConfigurationView mView;
    private final EntryServices mServices;

    private EntryHandler(ConfigurationView view, EntryServices services) {
        mView = view;
        mServices = services;
    }

    /** Returns the handler of an entry's data address. */
    public static EntryHandler of(ConfigurationView view, EntryServices services) {
        return new EntryHandler(view, services);
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
                    Refusal.invalid(
                            404, "no_such_service", "no service of this name is configured"),
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
        Optional<ServiceDocument.Organisation> organisation =
                organisationOf(service.get(), request);
        if (organisation.isEmpty()) {
            return refuse(
                    Refusal.invalid(
                            401, "unknown_caller", "the bearer token is missing or unknown"),
                    response,
                    callback);
        }
        if (hasInvalidDeadline(request)) {
            return refuse(
                    Refusal.invalid(
                            400,
                            "deadline_invalid",
                            RequestHeaders.DEADLINE + " must be a positive number"),
                    response,
                    callback);
        }
        readAndStart(
                body ->
                        new RoutedRequest(
                                service.get(),
                                route.get(),
                                organisation.get(),
                                request.getMethod(),
                                request.getHttpURI().getPathQuery(),
                                request.getHeaders(),
                                body),
                (int) service.get().limits().requestBytes(),
                request,
                response,
                callback);
        return true;
    }

    private void readAndStart(
            Function<ByteBuffer, RoutedRequest> toRoutedRequest,
            int limit,
            Request request,
            Response response,
            Callback callback) {
        if (request.getLength() > limit) {
            refuse(tooLarge(limit), response, callback);
            return;
        }
        BodyReader.read(request, limit)
                .whenComplete(
                        (bytes, failure) -> {
                            if (failure != null) {
                                refuse(tooLarge(limit), response, callback);
                                return;
                            }
                            ByteBuffer body = ByteBuffer.wrap(bytes).asReadOnlyBuffer();
                            new Exchange(
                                            mServices,
                                            toRoutedRequest.apply(body),
                                            FramedResponse.of(request, response),
                                            callback)
                                    .start();
                        });
    }

    private static boolean hasInvalidDeadline(Request request) {
        String value = request.getHeaders().get(RequestHeaders.DEADLINE);
        return value != null && RequestHeaders.parsePositive(value) == 0;
    }

    private static boolean refuse(Refusal refusal, Response response, Callback callback) {
        refusal.write(response, callback);
        return true;
    }

    private static Refusal tooLarge(int limit) {
        return Refusal.invalid(
                413, "body_too_large", "the request body exceeds " + limit + " bytes");
    }

    private static Optional<ServiceDocument.Organisation> organisationOf(
            ServiceDocument service, Request request) {
        String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        String token = authorization.substring(BEARER.length());
        return service.organisationByKeyDigest(Digests.of(token));
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
}
