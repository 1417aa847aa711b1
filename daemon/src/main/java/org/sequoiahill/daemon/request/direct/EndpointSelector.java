package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.EngineProfile;
import org.sequoiahill.daemon.process.fleet.EntryRank;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * Selects the endpoint for a request among the endpoints of its service.
 *
 * <p>The selection handles four situations:
 *
 * <p>Many entries and few large endpoints: the load estimate includes the requests that this entry
 * has sent since the last report and those that the others probably have, and random noise of up to
 * 1.5 requests prevents entries with the same reports from all selecting the same endpoint.
 *
 * <p>Hundreds of VMs: an entry considers only its {@link Aperture} and a few randomly sampled
 * endpoints. If entries considered all endpoints, all would select the least loaded one of the
 * fleet until its next report.
 *
 * <p>A burst at an engine that has just come back with all its slots free: no more prompts are sent
 * to it than it can process in time.
 *
 * <p>Overload: a quarter of the engines' slots is reserved for requests that can still be on time,
 * so that requests which are late anyway don't delay them.
 */
final class EndpointSelector {
    /** Maximum random noise added to a load, in requests. */
    private static final double LOAD_NOISE = 1.5;

    /** Score bonus for an endpoint in this entry's region, as a fraction of its slots. */
    private static final double REGION_BONUS = 0.12;

    /** Score bonus for an endpoint in this entry's aperture, as a fraction of its slots. */
    private static final double APERTURE_BONUS = 0.25;

    /** Number of endpoints outside the aperture that are sampled for each request. */
    private static final int SAMPLE_SIZE = 2;

    /**
     * Requests that may queue at an engine in addition to those in its slots, as a fraction of the
     * slots.
     */
    private static final double ENGINE_QUEUE_RATIO = 0.25;

    /**
     * Load up to which an engine is sent requests that are late anyway, as a fraction of its slots.
     */
    private static final double LATE_LOAD_RATIO = 0.75;

    /** Requests that may queue at a plain endpoint, as a fraction of its slots. */
    private static final double PLAIN_QUEUE_RATIO = 1.0;

    /** Fraction of the latency target that an engine may need to process outstanding prompts. */
    private static final double PROMPT_TIME_RATIO = 0.25;

    /**
     * Fraction of an endpoint's connection limit that is used; the rest allows for connections that
     * are closing.
     */
    private static final double CONNECTION_USE_RATIO = 0.8;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final DirectSettings mSettings;
    private final RandomGenerator mRandom;
    private final Function<EndpointInfo, EndpointStatus> mStatusOf;
    private final Map<String, Aperture> mApertures = new HashMap<>();
    private FleetSnapshot mAperturesSnapshot = FleetSnapshot.EMPTY;

    private EndpointSelector(
            DirectSettings settings,
            RandomGenerator random,
            Function<EndpointInfo, EndpointStatus> statusOf) {
        mSettings = settings;
        mRandom = random;
        mStatusOf = statusOf;
    }

    static EndpointSelector of(
            DirectSettings settings,
            RandomGenerator random,
            Function<EndpointInfo, EndpointStatus> statusOf) {
        return new EndpointSelector(settings, random, statusOf);
    }

    /**
     * Result of a selection.
     *
     * @param endpoint selected endpoint, empty if none has capacity
     * @param candidates number of endpoints that may run the request, with or without capacity
     * @param pausedUntil earliest end of a pause, if all candidates have requested one
     * @param version version that the request must require, if any
     */
    record Selection(
            Optional<EndpointInfo> endpoint,
            int candidates,
            Optional<Duration> pausedUntil,
            OptionalLong version) {}

    /**
     * Constraint on the version that serves a request: a minimum, an exact version, both or none.
     */
    private record VersionConstraint(OptionalLong minimum, OptionalLong exact) {
        boolean allows(long version) {
            return (minimum.isEmpty() || version >= minimum.getAsLong())
                    && (exact.isEmpty() || version == exact.getAsLong());
        }

        boolean isConstrained() {
            return minimum.isPresent() || exact.isPresent();
        }
    }

    /** Selects an endpoint for a request, given the fleet and the time. */
    Selection select(PendingRequest request, FleetSnapshot snapshot, Duration now) {
        VersionConstraint constraint = versionConstraint(request, snapshot, now);
        List<EndpointInfo> candidates = candidates(request, snapshot, constraint);
        List<EndpointInfo> available = new ArrayList<>();
        for (EndpointInfo endpoint : candidates) {
            EndpointStatus status = mStatusOf.apply(endpoint);
            boolean isAvoided = status.isPaused(now) || status.isAvoided(now);
            if (!isAvoided && hasCapacity(request, endpoint, status, snapshot, now)) {
                available.add(endpoint);
            }
        }
        Optional<EndpointInfo> selected = pickLeastLoaded(request, available, snapshot, now);
        OptionalLong version =
                selected.isPresent() && constraint.isConstrained()
                        ? versionAt(selected.get(), snapshot, request.model())
                        : OptionalLong.empty();
        return new Selection(selected, candidates.size(), pausedUntil(candidates, now), version);
    }

    /** Returns the earliest end of a pause, empty unless all endpoints have requested one. */
    private Optional<Duration> pausedUntil(List<EndpointInfo> endpoints, Duration now) {
        List<EndpointStatus> statuses = endpoints.stream().map(mStatusOf).toList();
        return statuses.stream().allMatch(status -> status.isPaused(now))
                ? statuses.stream().map(EndpointStatus::pausedUntil).min(Duration::compareTo)
                : Optional.empty();
    }

    /**
     * Returns the endpoint with the lowest score among those in the aperture and a random sample of
     * others. The score is the utilisation, reduced by a bonus for an endpoint in the region or in
     * the aperture, and increased for one that the request was sent to before.
     */
    private Optional<EndpointInfo> pickLeastLoaded(
            PendingRequest request,
            List<EndpointInfo> available,
            FleetSnapshot snapshot,
            Duration now) {
        int apertureCount = moveApertureToFront(available, apertureOf(request.service(), snapshot));
        int consideredCount = Math.min(available.size(), apertureCount + SAMPLE_SIZE);
        Optional<EndpointInfo> selected = Optional.empty();
        double selectedScore = Double.MAX_VALUE;
        for (int i = 0; i < consideredCount; i++) {
            if (i >= apertureCount) {
                Collections.swap(available, i, i + mRandom.nextInt(available.size() - i));
            }
            EndpointInfo endpoint = available.get(i);
            double load = mStatusOf.apply(endpoint).load(entryCount(snapshot), now);
            double score =
                    score(endpoint, load)
                            + (request.triedEndpoints().contains(endpoint.id()) ? 1 : 0)
                            - (i < apertureCount ? APERTURE_BONUS : 0);
            if (score < selectedScore) {
                selected = Optional.of(endpoint);
                selectedScore = score;
            }
        }
        return selected;
    }

    private Aperture apertureOf(String service, FleetSnapshot snapshot) {
        if (snapshot != mAperturesSnapshot) {
            mApertures.clear();
            mAperturesSnapshot = snapshot;
        }
        return mApertures.computeIfAbsent(service, name -> Aperture.of(snapshot, name, mSettings));
    }

    /** Moves the endpoints of an aperture to the front of a list; returns their number. */
    private static int moveApertureToFront(List<EndpointInfo> endpoints, Aperture aperture) {
        int apertureCount = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            if (aperture.contains(endpoints.get(i))) {
                Collections.swap(endpoints, i, apertureCount++);
            }
        }
        return apertureCount;
    }

    /** Returns whether requests to an endpoint must be paced because it is cold. */
    boolean isCold(EndpointInfo endpoint, FleetSnapshot snapshot, Duration now) {
        return coldRate(endpoint, snapshot) > 0
                && coldUntil(endpoint, mStatusOf.apply(endpoint)).compareTo(now) > 0;
    }

    private static Duration coldUntil(EndpointInfo endpoint, EndpointStatus status) {
        return endpoint.coldUntil().compareTo(status.coldUntil()) > 0
                ? endpoint.coldUntil()
                : status.coldUntil();
    }

    private static double coldRate(EndpointInfo endpoint, FleetSnapshot snapshot) {
        return snapshot.table()
                .flatMap(table -> table.service(endpoint.service()))
                .map(RoutedService::coldRate)
                .orElse(0.0);
    }

    /**
     * Returns whether an endpoint has an older version than the newest one that was published at
     * least {@link DirectSettings#recallAfter} ago.
     */
    boolean isOutdated(
            PendingRequest request, EndpointInfo endpoint, FleetSnapshot snapshot, Duration now) {
        OptionalLong dueVersion =
                snapshot.versionHistory(request.model())
                        .newestAt(now.minus(mSettings.recallAfter()));
        OptionalLong version = versionAt(endpoint, snapshot, request.model());
        return dueVersion.isPresent()
                && version.isPresent()
                && version.getAsLong() < dueVersion.getAsLong();
    }

    /** Returns the number of entries that share the endpoints, at least 1. */
    static int entryCount(FleetSnapshot snapshot) {
        return Math.max(1, snapshot.participants(ParticipantRole.ENTRY).size());
    }

    private List<EndpointInfo> candidates(
            PendingRequest request, FleetSnapshot snapshot, VersionConstraint constraint) {
        List<EndpointInfo> candidates = new ArrayList<>();
        for (EndpointInfo endpoint : snapshot.endpoints(request.service())) {
            Participant agent = snapshot.agentOf(endpoint).orElse(null);
            boolean isUsable =
                    endpoint.isReady()
                            && !mStatusOf.apply(endpoint).isDraining()
                            && !snapshot.state().isOut(endpoint.dataCentre())
                            && request.allows(mSettings.regionOf(endpoint.dataCentre()))
                            && hasAllowedVersion(endpoint, agent, request.model(), constraint)
                            && (agent == null || !agent.isSwapping());
            if (isUsable) {
                candidates.add(endpoint);
            }
        }
        return candidates;
    }

    /** Returns whether an endpoint has loaded an allowed version of the model, if one is named. */
    private static boolean hasAllowedVersion(
            EndpointInfo endpoint,
            @Nullable Participant agent,
            String model,
            VersionConstraint constraint) {
        if (model.isEmpty()) {
            return true;
        }
        OptionalLong version = loadedVersion(endpoint, agent, model);
        return version.isPresent() && constraint.allows(version.getAsLong());
    }

    private static OptionalLong versionAt(
            EndpointInfo endpoint, FleetSnapshot snapshot, String model) {
        return loadedVersion(endpoint, snapshot.agentOf(endpoint).orElse(null), model);
    }

    /**
     * Returns the version that an endpoint has loaded; the agent's information takes precedence
     * because it is more recent.
     */
    private static OptionalLong loadedVersion(
            EndpointInfo endpoint, @Nullable Participant agent, String model) {
        Long version = endpoint.versions().get(model);
        if (agent != null && agent.getVersions().containsKey(model)) {
            version = agent.getVersions().get(model);
        }
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /**
     * Returns the versions that may serve a request: the newest one that was published at least
     * {@link DirectSettings#requireVersionAfter} ago and later ones; if the request resumes a
     * stream, only the stream's own version among these.
     */
    private VersionConstraint versionConstraint(
            PendingRequest request, FleetSnapshot snapshot, Duration now) {
        if (request.model().isEmpty()) {
            return new VersionConstraint(OptionalLong.empty(), OptionalLong.empty());
        }
        OptionalLong dueVersion =
                snapshot.versionHistory(request.model())
                        .newestAt(now.minus(mSettings.requireVersionAfter()));
        return new VersionConstraint(dueVersion, request.version());
    }

    private boolean hasCapacity(
            PendingRequest request,
            EndpointInfo endpoint,
            EndpointStatus status,
            FleetSnapshot snapshot,
            Duration now) {
        if (isCold(endpoint, snapshot, now)
                && !mayColdEndpointReceive(endpoint, status, snapshot, now)) {
            return false;
        }
        if (status.running() >= connectionLimit(endpoint, snapshot)) {
            return false;
        }
        Optional<EngineProfile> engine =
                snapshot.table()
                        .flatMap(table -> table.service(endpoint.service()))
                        .flatMap(RoutedService::engine);
        int entryCount = entryCount(snapshot);
        if (engine.isPresent()
                && !isPromptProcessedInTime(request, status, engine.get(), entryCount)) {
            return false;
        }
        return status.load(entryCount, now)
                < Math.max(1, endpoint.slots()) * loadLimitRatio(request, status, engine, now);
    }

    private boolean mayColdEndpointReceive(
            EndpointInfo endpoint, EndpointStatus status, FleetSnapshot snapshot, Duration now) {
        return status.coldStartPacer()
                .maySend(
                        now,
                        coldUntil(endpoint, status),
                        coldRate(endpoint, snapshot),
                        EntryRank.of(snapshot, mSettings.vm()));
    }

    /**
     * Returns the maximum number of this entry's requests at an endpoint. Each uses a connection of
     * its own, and the endpoint resets connections above its limit for all entries together.
     */
    private static int connectionLimit(EndpointInfo endpoint, FleetSnapshot snapshot) {
        int limit =
                snapshot.table()
                        .flatMap(table -> table.service(endpoint.service()))
                        .map(RoutedService::maxConnections)
                        .orElse(0);
        return limit == 0
                ? Integer.MAX_VALUE
                : Math.max(1, (int) (limit * CONNECTION_USE_RATIO / entryCount(snapshot)));
    }

    /**
     * Returns the load up to which an endpoint is sent a request, as a fraction of its slots. A
     * request that queues at a full engine is late and delays those behind it. If the agent has
     * reported the load recently, the estimate is exact enough that no request needs to queue
     * there.
     */
    private static double loadLimitRatio(
            PendingRequest request,
            EndpointStatus status,
            Optional<EngineProfile> engine,
            Duration now) {
        if (engine.isEmpty()) {
            return 1 + PLAIN_QUEUE_RATIO;
        }
        if (request.isLate()) {
            return LATE_LOAD_RATIO;
        }
        return status.hasRecentLoadReport(now) ? 1 : 1 + ENGINE_QUEUE_RATIO;
    }

    /**
     * Returns whether an engine can process a prompt soon enough. An engine that comes back empty
     * after loading weights has all its slots free; if they were filled at once, the first events
     * of all requests would wait until all prompts are processed. An engine that has no prompt of
     * this entry left to process is sent one of any length.
     */
    private static boolean isPromptProcessedInTime(
            PendingRequest request, EndpointStatus status, EngineProfile engine, int entryCount) {
        double unprocessed = status.unprocessedTokens(entryCount);
        if (unprocessed == 0) {
            return true;
        }
        double tokens =
                unprocessed + EndpointStatus.scaleForEntries(entryCount) * request.promptTokens();
        return tokens / engine.prefillRate() * MILLIS_PER_SECOND
                <= PROMPT_TIME_RATIO * request.latencyTarget().toMillis();
    }

    private double score(EndpointInfo endpoint, double load) {
        double slots = Math.max(1, endpoint.slots());
        double utilisation = (load + LOAD_NOISE * mRandom.nextDouble()) / slots;
        boolean isInRegion = mSettings.regionOf(endpoint.dataCentre()).equals(mSettings.region());
        return isInRegion ? utilisation - REGION_BONUS : utilisation;
    }
}
