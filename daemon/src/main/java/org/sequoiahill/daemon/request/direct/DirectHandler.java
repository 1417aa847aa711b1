package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.FramedResponse;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.process.fleet.Route;
import org.sequoiahill.daemon.process.fleet.RoutingTable;
import org.sequoiahill.daemon.request.Refusal;

/**
 * Serves callers' requests: finds the route and the organisation, reads the body and starts the
 * exchange.
 */
public final class DirectHandler extends Handler.Abstract.NonBlocking {
    /** Refusal while this entry lacks a routing table that is known to be published. */
    private static final Refusal TABLE_BEHIND =
            Refusal.overloaded(
                    "table_behind",
                    "the newest routing table has not arrived yet",
                    Duration.ofMillis(500));

    /** Refusal while no routing table is known, right after a start. */
    private static final Refusal NO_TABLE =
            Refusal.overloaded(
                    "no_routing_table",
                    "this entry has no routing table yet",
                    Duration.ofMillis(1_500));

    /** Maximum size of a body while no routing table is known. */
    private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;

    private final DirectServices mServices;
    private final Supplier<FleetSnapshot> mSnapshot;
    private final RandomGenerator mRandom;

    private DirectHandler(
            DirectServices services, Supplier<FleetSnapshot> snapshot, RandomGenerator random) {
        mServices = services;
        mSnapshot = snapshot;
        mRandom = random;
    }

    /** Returns the handler for an entry's caller-facing address. */
    public static DirectHandler of(
            DirectServices services, Supplier<FleetSnapshot> snapshot, RandomGenerator random) {
        return new DirectHandler(services, snapshot, random);
    }

    /** Returns a handler that refuses all requests and writes the request log as this one does. */
    public Handler refusing(Refusal refusal) {
        return new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                RequestMetadata metadata =
                        mServices.headerCodec().parseRequest(request.getHeaders());
                refuse(refusal, request, response, callback, metadata);
                return true;
            }
        };
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Duration arrivedAt = mServices.clock().now();
        RequestMetadata metadata = mServices.headerCodec().parseRequest(request.getHeaders());
        FleetSnapshot snapshot = mSnapshot.get();
        if (snapshot.table().isEmpty()) {
            refuse(NO_TABLE, request, response, callback, metadata);
            return true;
        }
        RoutingTable table = snapshot.table().get();
        String host = hostOf(request);
        Optional<Route> route = table.route(host, request.getHttpURI().getPath());
        Optional<Organisation> organisation = metadata.key().flatMap(table::organisation);
        Duration deadline =
                route.map(found -> RequestDeadlines.of(arrivedAt, found, metadata.timeout()))
                        .map(RequestDeadlines::deadline)
                        .orElse(arrivedAt.plus(metadata.timeout().orElse(Duration.ZERO)));
        RequestUpload upload =
                upload(
                        request,
                        response,
                        callback,
                        metadata,
                        maxBodyBytes(table, request),
                        deadline);
        Optional<Refusal> refusal =
                checkHeaders(snapshot, route, organisation, metadata, request)
                        .or(() -> mServices.drainDeadline().refuse(route.orElseThrow(), deadline));
        if (refusal.isPresent()) {
            upload.refuse(refusal.get());
            return true;
        }
        DirectRequest.RoutingVersions routingVersions =
                new DirectRequest.RoutingVersions(table.number(), snapshot.state().index());
        upload.read(
                (body, ending) -> {
                    DirectRequest direct =
                            new DirectRequest(
                                    metadata,
                                    route.get(),
                                    organisation,
                                    route.get().serviceFor(mRandom.nextDouble()),
                                    request.getMethod(),
                                    request.getHttpURI().getPathQuery(),
                                    host,
                                    request.getHeaders(),
                                    body.asReadOnlyBuffer(),
                                    routingVersions);
                    new DirectExchange(
                                    mServices,
                                    direct,
                                    request,
                                    FramedResponse.of(request, response),
                                    ending,
                                    arrivedAt)
                            .start();
                });
        return true;
    }

    /** Refuses a request whose route is not known. */
    private void refuse(
            Refusal refusal,
            Request request,
            Response response,
            Callback callback,
            RequestMetadata metadata) {
        Duration deadline = mServices.clock().now().plus(metadata.timeout().orElse(Duration.ZERO));
        upload(request, response, callback, metadata, DEFAULT_MAX_BODY_BYTES, deadline)
                .refuse(refusal);
    }

    private RequestUpload upload(
            Request request,
            Response response,
            Callback callback,
            RequestMetadata metadata,
            int maxBytes,
            Duration deadline) {
        return new RequestUpload(
                mServices,
                request,
                response,
                callback,
                maxBytes,
                deadline,
                refusal -> logRefusal(refusal, metadata));
    }

    /** Returns the refusal of a request that can be refused before its body is read, if any. */
    private static Optional<Refusal> checkHeaders(
            FleetSnapshot snapshot,
            Optional<Route> route,
            Optional<Organisation> organisation,
            RequestMetadata metadata,
            Request request) {
        boolean isUnknown =
                route.isEmpty() || (organisation.isEmpty() && !route.get().allowsAnonymous());
        if (isUnknown && snapshot.isTableStale()) {
            // The newer table may contain the route or key that this one lacks.
            return Optional.of(TABLE_BEHIND);
        }
        if (route.isEmpty()) {
            return Optional.of(
                    Refusal.invalid(404, "no_route", "no route matches this host and path"));
        }
        if (organisation.isEmpty() && !route.get().allowsAnonymous()) {
            return Optional.of(Refusal.invalid(401, "unknown_key", "no organisation has this key"));
        }
        if (metadata.id().isEmpty()) {
            return Optional.of(Refusal.invalid(400, "no_request_id", "the request has no id"));
        }
        if (!EndpointCalls.canSend(request.getHttpURI().getPathQuery())) {
            return Optional.of(
                    Refusal.invalid(400, "invalid_path", "the path can't be sent unchanged"));
        }
        return Optional.empty();
    }

    /** Returns the largest body that the table allows and for which there can be room. */
    private int maxBodyBytes(RoutingTable table, Request request) {
        long maxBytes = mServices.memory().maxRequestBytes(request.getLength());
        return (int) Math.min(Integer.MAX_VALUE, Math.min(maxBytes, table.maxBodyBytes()));
    }

    private void logRefusal(Refusal refusal, RequestMetadata metadata) {
        mServices
                .requestLog()
                .requestCompleted(
                        new RequestLog.Entry(
                                metadata.id(),
                                "",
                                "",
                                mSnapshot.get().table().map(RoutingTable::number).orElse(0L),
                                mSnapshot.get().state().index(),
                                refusal.status(),
                                refusal.code(),
                                "",
                                "",
                                List.of(),
                                Duration.ZERO,
                                Duration.ZERO));
    }

    private static String hostOf(Request request) {
        String host = request.getHeaders().get(HttpHeader.HOST);
        if (host == null) {
            return "";
        }
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
