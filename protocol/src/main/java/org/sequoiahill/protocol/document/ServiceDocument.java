package org.sequoiahill.protocol.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.sequoiahill.protocol.json.Fault;
import org.sequoiahill.protocol.json.ObjectReader;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.json.ParsedJson;

/**
 * Configuration of a service, as set by the team that owns it.
 *
 * @param service name of the service, unique in the system
 * @param owner team that may change this document
 * @param kind whether endpoints are model engines or plain services
 * @param version weights that every endpoint serves; empty for a plain service
 * @param replicas desired number of endpoints in each data centre
 * @param routes paths that callers may request
 * @param organisations callers and their limits
 * @param rollout limits on a swap of versions
 * @param limits limits on a request
 */
public record ServiceDocument(
        String service,
        String owner,
        Kind kind,
        Optional<Version> version,
        Map<String, Long> replicas,
        List<Route> routes,
        List<Organisation> organisations,
        Rollout rollout,
        Limits limits) {
    /** Pattern of names of services, teams, organisations and data centres. */
    public static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    /** Pattern of a SHA-256 digest in hexadecimal. */
    public static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9/_.-]{0,200}");
    private static final Pattern KIND = Pattern.compile("model|plain");
    private static final Pattern PRIORITY = Pattern.compile("high|normal|low");
    private static final long MAX_REPLICAS = 10_000;
    private static final long MAX_SHARE = 1_000;
    private static final long MAX_QUEUE = 100_000;
    private static final long MAX_DEADLINE_MILLIS = 3_600_000;
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
    private static final long MAX_REQUEST_BYTES = 64L << 20;
    private static final long DEFAULT_REQUEST_BYTES = 1L << 20;

    /** Type of a service's endpoints. */
    public enum Kind {
        /** Model engines that load weights. */
        MODEL,
        /** Services that load nothing. */
        PLAIN
    }

    /** Priority of requests under load. */
    public enum Priority {
        /** Served first. */
        HIGH,
        /** Served after high. */
        NORMAL,
        /** Served last and refused first. */
        LOW
    }

    /**
     * One version of weights.
     *
     * @param name name of the version at the origin
     * @param manifestDigest SHA-256 of the manifest
     */
    public record Version(String name, String manifestDigest) {}

    /**
     * A path that callers may request.
     *
     * @param path path after the service's prefix
     * @param idempotent whether a call may run more than once
     * @param priority priority of its requests
     */
    public record Route(String path, boolean idempotent, Priority priority) {}

    /**
     * A caller and its limits.
     *
     * @param name name of the organisation
     * @param keyDigest SHA-256 of the organisation's bearer token
     * @param share weight in fair queueing
     * @param queueLimit requests that may wait at one entry
     */
    public record Organisation(String name, String keyDigest, long share, long queueLimit) {}

    /**
     * Limits on a swap of versions.
     *
     * @param maxUnavailable endpoints that may swap at once in one data centre
     * @param minServing least number of endpoints that keep serving in each data centre during a
     *     swap
     */
    public record Rollout(long maxUnavailable, long minServing) {}

    /**
     * Limits on a request.
     *
     * @param deadline time after which a request is abandoned, unless the caller sets a shorter one
     * @param requestBytes largest request body, in bytes
     */
    public record Limits(Duration deadline, long requestBytes) {}

    /** Parses and checks a document; reports all faults. */
    public static ParseResult<ServiceDocument> parse(String text) {
        ParseResult<ParsedJson> json = ParsedJson.parse(text);
        if (!json.isValid()) {
            return ParseResult.faulty(json.faults());
        }
        List<Fault> faults = new ArrayList<>();
        ObjectReader reader = json.orElseThrow().reader(faults);
        ServiceDocument document = read(reader);
        reader.rejectUnknownKeys();
        return faults.isEmpty() ? ParseResult.of(document) : ParseResult.faulty(faults);
    }

    /** Returns the organisation whose bearer token has this digest. */
    public Optional<Organisation> organisationByKeyDigest(String keyDigest) {
        return organisations.stream().filter(o -> o.keyDigest().equals(keyDigest)).findFirst();
    }

    /** Returns the route with this path. */
    public Optional<Route> routeByPath(String path) {
        return routes.stream().filter(r -> r.path().equals(path)).findFirst();
    }

    private static ServiceDocument read(ObjectReader reader) {
        Kind kind = reader.string("kind", KIND, "model").equals("plain") ? Kind.PLAIN : Kind.MODEL;
        Optional<Version> version = Optional.empty();
        if (reader.has("version")) {
            version = Optional.of(reader.object("version", ServiceDocument::readVersion));
        } else if (kind == Kind.MODEL) {
            reader.fault("version", "is missing; a model service must state its version");
        }
        List<Route> routes = reader.objects("routes", ServiceDocument::readRoute);
        if (routes.isEmpty()) {
            reader.fault("routes", "must hold at least one route");
        }
        Map<String, Long> replicas = reader.integers("replicas", 0, MAX_REPLICAS);
        Rollout rollout = reader.object("rollout", ServiceDocument::readRollout);
        if (replicas.values().stream().anyMatch(n -> n > 0 && n <= rollout.minServing())) {
            reader.fault("rollout", "must leave leastServing below each count of replicas");
        }
        return new ServiceDocument(
                reader.string("service", NAME),
                reader.string("owner", NAME),
                kind,
                version,
                replicas,
                routes,
                reader.objects("organisations", ServiceDocument::readOrganisation),
                rollout,
                reader.object("limits", ServiceDocument::readLimits));
    }

    private static Version readVersion(ObjectReader reader) {
        return new Version(reader.string("name", NAME), reader.string("manifestDigest", DIGEST));
    }

    private static Route readRoute(ObjectReader reader) {
        return new Route(
                reader.string("path", PATH),
                reader.bool("idempotent", false),
                Priority.valueOf(priorityName(reader.string("priority", PRIORITY, "normal"))));
    }

    private static Organisation readOrganisation(ObjectReader reader) {
        return new Organisation(
                reader.string("name", NAME),
                reader.string("keyDigest", DIGEST),
                reader.integer("share", 1, MAX_SHARE, 1),
                reader.integer("queueLimit", 1, MAX_QUEUE, 1_000));
    }

    private static Rollout readRollout(ObjectReader reader) {
        return new Rollout(
                reader.integer("maxUnavailable", 1, MAX_REPLICAS, 1),
                reader.integer("leastServing", 0, MAX_REPLICAS, 0));
    }

    private static Limits readLimits(ObjectReader reader) {
        return new Limits(
                reader.millis("deadlineMillis", 1, MAX_DEADLINE_MILLIS, DEFAULT_DEADLINE_MILLIS),
                reader.integer("requestBytes", 1, MAX_REQUEST_BYTES, DEFAULT_REQUEST_BYTES));
    }

    /** Returns the name of the constant; an invalid priority was read as an empty text. */
    private static String priorityName(String value) {
        return value.isEmpty() ? "NORMAL" : value.toUpperCase(java.util.Locale.ROOT);
    }
}
