package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
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
import org.sequoiahill.daemon.connection.BodyReader;
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

    /** Retry delay for callers while no routing table is known, right after a start. */
    private static final Duration NO_TABLE_RETRY_AFTER = Duration.ofMillis(1_500);

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

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Duration arrivedAt = mServices.clock().now();
        RequestMetadata metadata = mServices.headerCodec().parseRequest(request.getHeaders());
        FleetSnapshot snapshot = mSnapshot.get();
        if (snapshot.table().isEmpty()) {
            return refuse(
                    Refusal.overloaded(
                            "no_routing_table",
                            "this entry has no routing table yet",
                            NO_TABLE_RETRY_AFTER),
                    metadata,
                    response,
                    callback);
        }
        RoutingTable table = snapshot.table().get();
        String host = hostOf(request);
        Optional<Route> route = table.route(host, request.getHttpURI().getPath());
        Optional<Organisation> organisation = metadata.key().flatMap(table::organisation);
        Optional<Refusal> refusal =
                checkHeaders(snapshot, table, route, organisation, metadata, request);
        if (refusal.isPresent()) {
            return refuse(refusal.get(), metadata, response, callback);
        }
        int limit = maxBodyBytes(table);
        DirectRequest.RoutingVersions routingVersions =
                new DirectRequest.RoutingVersions(table.number(), snapshot.state().index());
        BodyReader.read(request, limit)
                .whenComplete(
                        (bytes, failure) -> {
                            if (failure != null) {
                                handleBodyFailure(failure, limit, metadata, response, callback);
                                return;
                            }
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
                                            ByteBuffer.wrap(bytes).asReadOnlyBuffer(),
                                            routingVersions);
                            new DirectExchange(
                                            mServices,
                                            direct,
                                            request,
                                            FramedResponse.of(request, response),
                                            callback,
                                            arrivedAt)
                                    .start();
                        });
        return true;
    }

    /** Returns the refusal of a request that can be refused before its body is read, if any. */
    private static Optional<Refusal> checkHeaders(
            FleetSnapshot snapshot,
            RoutingTable table,
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
        int limit = maxBodyBytes(table);
        return request.getLength() > limit ? Optional.of(tooLarge(limit)) : Optional.empty();
    }

    private static int maxBodyBytes(RoutingTable table) {
        return (int) Math.min(Integer.MAX_VALUE, table.maxBodyBytes());
    }

    private void handleBodyFailure(
            Throwable failure,
            int limit,
            RequestMetadata metadata,
            Response response,
            Callback callback) {
        if (failure instanceof BodyReader.BodyTooLargeException) {
            refuse(tooLarge(limit), metadata, response, callback);
        } else {
            callback.failed(failure);
        }
    }

    private boolean refuse(
            Refusal refusal, RequestMetadata metadata, Response response, Callback callback) {
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
        refusal.write(
                response, mServices.headerCodec().formatRetryAfter(refusal.retryAfter()), callback);
        return true;
    }

    private static Refusal tooLarge(int limit) {
        return Refusal.invalid(413, "body_too_large", "request body exceeds " + limit + " bytes");
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
