package org.sequoiahill.daemon.process.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.protocol.weights.Digests;

/** All routes, services and organisations of one configuration; immutable. */
public final class RoutingTable {
    private final long mNumber;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, RoutedService> mServices;
    private final Map<String, Organisation> mOrganisationsByDigest;
    private final long mMaxBodyBytes;

    private RoutingTable(
            long number,
            Map<String, List<Route>> routesByHost,
            Map<String, RoutedService> services,
            Map<String, Organisation> organisationsByDigest,
            long maxBodyBytes) {
        mNumber = number;
        mRoutesByHost = routesByHost;
        mServices = services;
        mOrganisationsByDigest = organisationsByDigest;
        mMaxBodyBytes = maxBodyBytes;
    }

    /**
     * Returns a table.
     *
     * @param number number of the configuration
     * @param routes routes, no two with the same host and prefix
     * @param services services by name
     * @param organisationsByDigest organisations by the SHA-256 digest of each of their keys
     * @param maxBodyBytes largest body of a request, in bytes
     */
    public static RoutingTable of(
            long number,
            List<Route> routes,
            Map<String, RoutedService> services,
            Map<String, Organisation> organisationsByDigest,
            long maxBodyBytes) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(hostKey(route.host()), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        byHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
        return new RoutingTable(
                number,
                byHost,
                Map.copyOf(services),
                Map.copyOf(organisationsByDigest),
                maxBodyBytes);
    }

    /** Returns the number of the configuration. */
    public long number() {
        return mNumber;
    }

    /** Returns the largest body of a request, in bytes. */
    public long maxBodyBytes() {
        return mMaxBodyBytes;
    }

    /** Returns the route of a host with the longest prefix of the path. */
    public Optional<Route> route(String host, String path) {
        for (Route route : mRoutesByHost.getOrDefault(hostKey(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns a service by its name. */
    public Optional<RoutedService> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all services. */
    public Iterable<RoutedService> services() {
        return mServices.values();
    }

    /** Returns the organisation that an API key belongs to. */
    public Optional<Organisation> organisation(String key) {
        return Optional.ofNullable(mOrganisationsByDigest.get(Digests.of(key)));
    }

    /** Returns a service that is an origin of weights, if the table has one. */
    public Optional<RoutedService> weightsOrigin() {
        return mServices.values().stream()
                .filter(service -> service.origin().isPresent())
                .findFirst();
    }

    private static String hostKey(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
