package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.process.fleet.Route;
import org.sequoiahill.daemon.request.direct.RequestMetadata.ModelRequest;

/**
 * A caller's request with the route that matched it.
 *
 * @param metadata metadata parsed from the headers
 * @param route matched route
 * @param organisation organisation of the caller, empty if the caller sent no key or an unknown one
 *     on a route that allows anonymous requests
 * @param service service chosen by the route's weights
 * @param method HTTP method
 * @param pathAndQuery path and query as the caller sent them
 * @param host host that the caller requested
 * @param headers all headers
 * @param body complete body
 * @param routingVersions versions of the state that the request was routed with
 */
record DirectRequest(
        RequestMetadata metadata,
        Route route,
        Optional<Organisation> organisation,
        String service,
        String method,
        String pathAndQuery,
        String host,
        HttpFields headers,
        ByteBuffer body,
        RoutingVersions routingVersions) {
    /**
     * Versions of the state that a request was routed with.
     *
     * @param tableNumber number of the routing table
     * @param stateIndex index of the fleet state
     */
    record RoutingVersions(long tableNumber, long stateIndex) {}

    /** Returns the priority, 0 highest; the organisation's overrides the route's. */
    int priority() {
        OptionalInt own = organisation.map(Organisation::priority).orElse(OptionalInt.empty());
        return own.orElse(route.priority());
    }

    /** Returns the requested model, empty if the request names none. */
    String model() {
        return metadata.modelRequest().map(ModelRequest::model).orElse("");
    }

    /** Returns the number of prompt tokens, 0 if unknown. */
    int promptTokens() {
        return metadata.modelRequest().map(ModelRequest::promptTokens).orElse(0);
    }

    /** Returns whether the request may be served in a region. */
    boolean allows(String region) {
        return route.allows(region) && organisation.map(each -> each.allows(region)).orElse(true);
    }
}
