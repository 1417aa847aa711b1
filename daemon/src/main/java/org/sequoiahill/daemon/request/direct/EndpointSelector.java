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
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * Chooses the endpoint for a request among those of its service.
 *
 * <p>Answers the load of many entries before few large endpoints: the estimate counts what was sent
 * since the last report, and a random part of up to one and a half requests keeps entries that have
 * the same reports from all choosing the same endpoint. Answers hundreds of VMs: an entry looks at
 * its {@link Aperture} and at a few endpoints drawn at random, as the least loaded one of the whole
 * fleet is what all entries would choose until its next report. Answers the burst that meets an
 * engine which has just come back with all its slots free: no more prompts are sent there than it
 * reads in time. Answers more load than the engines bear: a quarter of their slots is kept from
 * requests that are late anyway, so that others are not late because of them.
 */
final class EndpointSelector {
    /** Random part of a load, in requests. */
    private static final double LOAD_NOISE = 1.5;

    /** Load, as a part of the slots, that a request is spared by staying in its region. */
    private static final double REGION_BONUS = 0.12;

    /** Load, as a part of the slots, that a request is spared in this entry's aperture. */
    private static final double APERTURE_BONUS = 0.25;

    /** Endpoints outside the aperture that are looked at, drawn anew for each request. */
    private static final int SAMPLE_SIZE = 2;

    /** Requests that may wait at an engine beside those in its slots, as a part of the slots. */
    private static final double ENGINE_QUEUE_RATIO = 0.25;

    /** Part of an engine's slots up to which it takes requests whose answer is late anyway. */
    private static final double LATE_LOAD_RATIO = 0.75;

    /** Requests that may wait at a plain endpoint, as a part of the slots. */
    private static final double PLAIN_QUEUE_RATIO = 1.0;

    /** Part of the time until an answer that an engine may need to read waiting prompts. */
    private static final double PROMPT_TIME_RATIO = 0.25;

    /** Part of an endpoint's connections that is used; the rest is for ones that are closing. */
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
     * What was found.
     *
     * @param endpoint endpoint to send to, where one has room
     * @param candidates endpoints that may run the request, with room or without
     * @param pausedUntil earliest end of a pause, where all candidates asked for one
     * @param version version that the request must name
     */
    record Selection(
            Optional<EndpointInfo> endpoint,
            int candidates,
            Optional<Duration> pausedUntil,
            OptionalLong version) {}

    /** Versions that may answer: from the least that is due, or exactly one. */
    private record VersionConstraint(OptionalLong minimum, OptionalLong exact) {
        boolean allows(long held) {
            return (minimum.isEmpty() || held >= minimum.getAsLong())
                    && (exact.isEmpty() || held == exact.getAsLong());
        }

        boolean isConstrained() {
            return minimum.isPresent() || exact.isPresent();
        }
    }

    /** Chooses for one request at one moment. */
    Selection select(PendingRequest ticket, FleetSnapshot picture, Duration now) {
        VersionConstraint allowed = versionConstraint(ticket, picture, now);
        List<EndpointInfo> candidates = candidates(ticket, picture, allowed);
        List<EndpointInfo> usable = new ArrayList<>();
        for (EndpointInfo endpoint : candidates) {
            EndpointStatus status = mStatusOf.apply(endpoint);
            boolean isLeftAlone = status.isPaused(now) || status.isAvoided(now);
            if (!isLeftAlone && hasRoom(ticket, endpoint, status, picture, now)) {
                usable.add(endpoint);
            }
        }
        Optional<EndpointInfo> best = pickLeastLoaded(ticket, usable, picture, now);
        OptionalLong version =
                best.isPresent() && allowed.isConstrained()
                        ? versionAt(best.get(), picture, ticket.model())
                        : OptionalLong.empty();
        return new Selection(best, candidates.size(), pausedUntil(candidates, now), version);
    }

    /** Returns the earliest end of a pause, empty where not all endpoints asked for one. */
    private Optional<Duration> pausedUntil(List<EndpointInfo> endpoints, Duration now) {
        List<EndpointStatus> statuses = endpoints.stream().map(mStatusOf).toList();
        return statuses.stream().allMatch(status -> status.isPaused(now))
                ? statuses.stream().map(EndpointStatus::pausedUntil).min(Duration::compareTo)
                : Optional.empty();
    }

    /** Returns the least loaded of the aperture's endpoints and of a few others. */
    private Optional<EndpointInfo> pickLeastLoaded(
            PendingRequest ticket, List<EndpointInfo> usable, FleetSnapshot picture, Duration now) {
        int preferred = moveApertureToFront(usable, apertureOf(ticket.service(), picture));
        int considered = Math.min(usable.size(), preferred + SAMPLE_SIZE);
        Optional<EndpointInfo> best = Optional.empty();
        double bestScore = Double.MAX_VALUE;
        for (int i = 0; i < considered; i++) {
            if (i >= preferred) {
                Collections.swap(usable, i, i + mRandom.nextInt(usable.size() - i));
            }
            EndpointInfo endpoint = usable.get(i);
            double load = mStatusOf.apply(endpoint).load(entryCount(picture), now);
            double score =
                    score(endpoint, load)
                            + (ticket.triedEndpoints().contains(endpoint.id()) ? 1 : 0)
                            - (i < preferred ? APERTURE_BONUS : 0);
            if (score < bestScore) {
                best = Optional.of(endpoint);
                bestScore = score;
            }
        }
        return best;
    }

    private Aperture apertureOf(String service, FleetSnapshot picture) {
        if (picture != mAperturesSnapshot) {
            mApertures.clear();
            mAperturesSnapshot = picture;
        }
        return mApertures.computeIfAbsent(service, name -> Aperture.of(picture, name, mSettings));
    }

    /** Moves the endpoints of an aperture to the front; returns how many there are. */
    private static int moveApertureToFront(List<EndpointInfo> endpoints, Aperture aperture) {
        int preferred = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            if (aperture.contains(endpoints.get(i))) {
                Collections.swap(endpoints, i, preferred++);
            }
        }
        return preferred;
    }

    /** Returns whether a request to an endpoint must keep the pace of a cold one. */
    boolean isCold(EndpointInfo endpoint, FleetSnapshot picture, Duration now) {
        return coldRate(endpoint, picture) > 0
                && coldUntil(endpoint, mStatusOf.apply(endpoint)).compareTo(now) > 0;
    }

    private static Duration coldUntil(EndpointInfo endpoint, EndpointStatus status) {
        return endpoint.coldUntil().compareTo(status.coldUntil()) > 0
                ? endpoint.coldUntil()
                : status.coldUntil();
    }

    private static double coldRate(EndpointInfo endpoint, FleetSnapshot picture) {
        return picture.table()
                .flatMap(table -> table.service(endpoint.service()))
                .map(RoutedService::coldRate)
                .orElse(0.0);
    }

    /** Returns whether an endpoint has an older version than the one that is due by now. */
    boolean isOutdated(
            PendingRequest ticket, EndpointInfo endpoint, FleetSnapshot picture, Duration now) {
        OptionalLong due =
                picture.versionHistory(ticket.model()).newestAt(now.minus(mSettings.recallAfter()));
        OptionalLong held = versionAt(endpoint, picture, ticket.model());
        return due.isPresent() && held.isPresent() && held.getAsLong() < due.getAsLong();
    }

    /** Returns how many entries share the endpoints. */
    static int entryCount(FleetSnapshot picture) {
        return Math.max(1, picture.participants(ParticipantRole.ENTRY).size());
    }

    private List<EndpointInfo> candidates(
            PendingRequest ticket, FleetSnapshot picture, VersionConstraint allowed) {
        List<EndpointInfo> candidates = new ArrayList<>();
        for (EndpointInfo endpoint : picture.endpoints(ticket.service())) {
            Participant agent = picture.agentOf(endpoint).orElse(null);
            boolean isUsable =
                    endpoint.isReady()
                            && !mStatusOf.apply(endpoint).isDraining()
                            && !picture.state().isOut(endpoint.dataCentre())
                            && ticket.allows(mSettings.regionOf(endpoint.dataCentre()))
                            && hasAllowedVersion(endpoint, agent, ticket.model(), allowed)
                            && (agent == null || !agent.isSwapping());
            if (isUsable) {
                candidates.add(endpoint);
            }
        }
        return candidates;
    }

    /** Returns whether an endpoint holds a version of the model that may answer. */
    private static boolean hasAllowedVersion(
            EndpointInfo endpoint,
            @Nullable Participant agent,
            String model,
            VersionConstraint allowed) {
        if (model.isEmpty()) {
            return true;
        }
        OptionalLong held = loadedVersion(endpoint, agent, model);
        return held.isPresent() && allowed.allows(held.getAsLong());
    }

    private static OptionalLong versionAt(
            EndpointInfo endpoint, FleetSnapshot picture, String model) {
        return loadedVersion(endpoint, picture.agentOf(endpoint).orElse(null), model);
    }

    /** Returns the version that an endpoint has loaded; its agent knows it sooner. */
    private static OptionalLong loadedVersion(
            EndpointInfo endpoint, @Nullable Participant agent, String model) {
        Long held = endpoint.versions().get(model);
        if (agent != null && agent.getVersions().containsKey(model)) {
            held = agent.getVersions().get(model);
        }
        return held == null ? OptionalLong.empty() : OptionalLong.of(held);
    }

    /**
     * Returns the versions that may answer: that of the stream that goes on, and none below the one
     * whose bound has nearly passed.
     */
    private VersionConstraint versionConstraint(
            PendingRequest ticket, FleetSnapshot picture, Duration now) {
        if (ticket.model().isEmpty()) {
            return new VersionConstraint(OptionalLong.empty(), OptionalLong.empty());
        }
        OptionalLong due =
                picture.versionHistory(ticket.model())
                        .newestAt(now.minus(mSettings.requireVersionAfter()));
        return new VersionConstraint(due, ticket.version());
    }

    private boolean hasRoom(
            PendingRequest ticket,
            EndpointInfo endpoint,
            EndpointStatus status,
            FleetSnapshot picture,
            Duration now) {
        if (isCold(endpoint, picture, now) && !isColdSendAllowed(endpoint, status, picture, now)) {
            return false;
        }
        if (status.running() >= connectionLimit(endpoint, picture)) {
            return false;
        }
        Optional<EngineProfile> engine =
                picture.table()
                        .flatMap(table -> table.service(endpoint.service()))
                        .flatMap(RoutedService::engine);
        int entries = entryCount(picture);
        if (engine.isPresent() && !isPromptReadInTime(ticket, status, engine.get(), entries)) {
            return false;
        }
        return status.load(entries, now)
                < Math.max(1, endpoint.slots()) * loadLimitRatio(ticket, status, engine, now);
    }

    private boolean isColdSendAllowed(
            EndpointInfo endpoint, EndpointStatus status, FleetSnapshot picture, Duration now) {
        return status.coldStartPacer()
                .maySend(
                        now,
                        coldUntil(endpoint, status),
                        coldRate(endpoint, picture),
                        EntryRank.of(picture, mSettings.vm()));
    }

    /**
     * Returns how many requests this entry may have at an endpoint, each on a connection of its
     * own: the endpoint resets what all entries together open beyond its bound.
     */
    private static int connectionLimit(EndpointInfo endpoint, FleetSnapshot picture) {
        int most =
                picture.table()
                        .flatMap(table -> table.service(endpoint.service()))
                        .map(RoutedService::maxConnections)
                        .orElse(0);
        return most == 0
                ? Integer.MAX_VALUE
                : Math.max(1, (int) (most * CONNECTION_USE_RATIO / entryCount(picture)));
    }

    /**
     * Returns the load up to which an endpoint takes a request, as a part of its slots. A request
     * that waits in a full engine is late, and so are those behind it; where the engine's agent
     * tells the load there is no need to guess, and none waits there.
     */
    private static double loadLimitRatio(
            PendingRequest ticket,
            EndpointStatus status,
            Optional<EngineProfile> engine,
            Duration now) {
        if (engine.isEmpty()) {
            return 1 + PLAIN_QUEUE_RATIO;
        }
        if (ticket.isLate()) {
            return LATE_LOAD_RATIO;
        }
        return status.hasRecentLoadReport(now) ? 1 : 1 + ENGINE_QUEUE_RATIO;
    }

    /**
     * Returns whether an engine would read a prompt soon enough. One that comes back empty after a
     * load has all its slots free, and were they filled at once, the first events of all would wait
     * until the prompts of all are read.
     */
    private static boolean isPromptReadInTime(
            PendingRequest ticket, EndpointStatus status, EngineProfile engine, int entries) {
        double unread = status.unprocessedTokens(entries);
        if (unread == 0) {
            return true;
        }
        double tokens = unread + EndpointStatus.scaleForEntries(entries) * ticket.promptTokens();
        return tokens / engine.prefillRate() * MILLIS_PER_SECOND
                <= PROMPT_TIME_RATIO * ticket.latencyTarget().toMillis();
    }

    private double score(EndpointInfo endpoint, double load) {
        double slots = Math.max(1, endpoint.slots());
        double part = (load + LOAD_NOISE * mRandom.nextDouble()) / slots;
        boolean isHome = mSettings.regionOf(endpoint.dataCentre()).equals(mSettings.region());
        return isHome ? part - REGION_BONUS : part;
    }
}
