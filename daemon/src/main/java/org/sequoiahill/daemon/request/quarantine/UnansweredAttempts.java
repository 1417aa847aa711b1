package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.tinylog.Logger;

/**
 * Attempts that endpoints have left unanswered, until it is known whether the endpoints died.
 *
 * <p>An endpoint that goes dark closes no connection. Its silence alone is no evidence, since it
 * may as well be slow, or its connection or link may be dead. It has died if in addition the stores
 * no longer report its start, and it has not announced that it leaves. Thread-safe.
 */
public final class UnansweredAttempts {
    /**
     * Time after the last unanswered attempt for which those of one endpoint are kept. Longer than
     * the lease of an endpoint, which the stores report for that time after its last heartbeat.
     */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    /** Time within which a live endpoint begins to answer some request. */
    public static final Duration MAX_SILENCE = Duration.ofSeconds(1);

    private static final int MAX_ENDPOINTS = 1_024;
    private static final int MAX_ATTEMPTS_PER_ENDPOINT = 64;

    private final Supplier<FleetSnapshot> mSnapshot;
    private final MonotonicClock mClock;
    private final Consumer<Death> mOnDeath;
    private final Consumer<List<String>> mOnLost;
    private final Map<Incarnation, SilentEndpoint> mEndpoints = new LinkedHashMap<>();
    private volatile boolean mIsEmpty = true;

    private UnansweredAttempts(
            Supplier<FleetSnapshot> snapshot,
            MonotonicClock clock,
            Consumer<Death> onDeath,
            Consumer<List<String>> onLost) {
        mSnapshot = snapshot;
        mClock = clock;
        mOnDeath = onDeath;
        mOnLost = onLost;
    }

    /**
     * Returns an empty set.
     *
     * @param onDeath called when an endpoint with unanswered attempts has died
     * @param onLost called with the traits of an attempt once it counts as lost, which it does
     *     after some time without an answer, or when its endpoint has died
     */
    static UnansweredAttempts of(
            Supplier<FleetSnapshot> snapshot,
            MonotonicClock clock,
            Consumer<Death> onDeath,
            Consumer<List<String>> onLost) {
        return new UnansweredAttempts(snapshot, clock, onDeath, onLost);
    }

    private record Incarnation(String id, long startedAt) {
        static Incarnation of(EndpointInfo endpoint) {
            return new Incarnation(endpoint.id(), endpoint.startedAt());
        }
    }

    /**
     * An attempt without an answer.
     *
     * @param traits traits of its request
     * @param probedTrait trait that it tested as a probe, if it was one
     * @param sentAt when it was sent
     */
    record Attempt(List<String> traits, Optional<String> probedTrait, Duration sentAt) {}

    /**
     * Death of an endpoint that closed no connection.
     *
     * @param endpoint the endpoint
     * @param diedAt when it had died at the latest, as its silence shows
     * @param attempts attempts that it may have died of
     */
    record Death(EndpointInfo endpoint, Duration diedAt, List<Attempt> attempts) {
        /** Returns the traits of the attempts, and when the last one with each was sent. */
        Map<String, Duration> sentAtByTrait() {
            Map<String, Duration> sentAt = new HashMap<>();
            for (Attempt attempt : attempts) {
                attempt.traits()
                        .forEach(
                                trait ->
                                        sentAt.merge(
                                                trait,
                                                attempt.sentAt(),
                                                UnansweredAttempts::later));
            }
            return sentAt;
        }

        /** Returns the traits that the attempts tested as probes. */
        Set<String> probedTraits() {
            return attempts.stream()
                    .flatMap(attempt -> attempt.probedTrait().stream())
                    .collect(Collectors.toSet());
        }
    }

    private static final class PendingAttempt {
        private final Attempt mAttempt;
        private @Nullable Duration mEndedAt;
        private boolean mIsCounted;
        private boolean mIsReported;

        PendingAttempt(Attempt attempt) {
            mAttempt = attempt;
        }

        /** Returns whether the attempt now counts as lost and did not before. */
        boolean countOnce(boolean isLost) {
            boolean isNew = isLost && !mIsCounted;
            mIsCounted |= isLost;
            return isNew;
        }

        boolean hasEndedBefore(Duration time) {
            return mEndedAt != null && mEndedAt.compareTo(time) < 0;
        }
    }

    private static final class SilentEndpoint {
        private final EndpointInfo mInfo;
        private final Map<Object, PendingAttempt> mAttempts = new LinkedHashMap<>();
        private Duration mAnsweredAt = Duration.ZERO;
        private Duration mUpdatedAt = Duration.ZERO;
        private boolean mIsLeaving;

        SilentEndpoint(EndpointInfo info) {
            mInfo = info;
        }

        /** Returns the death, with the attempts that were sent before it and not yet reported. */
        Death death(Duration now) {
            Duration silentSince =
                    mAttempts.values().stream()
                            .map(pending -> pending.mAttempt.sentAt())
                            .reduce(now, UnansweredAttempts::earlier)
                            .plus(MAX_SILENCE);
            Duration diedAt = earlier(now, later(mAnsweredAt, silentSince));
            return new Death(
                    mInfo,
                    diedAt,
                    mAttempts.values().stream()
                            .filter(pending -> !pending.mIsReported)
                            .map(pending -> pending.mAttempt)
                            .filter(attempt -> attempt.sentAt().compareTo(diedAt) <= 0)
                            .toList());
        }
    }

    /**
     * Adds an attempt that may have begun to run and has no answer yet, or updates it.
     *
     * @param key identifies the attempt; kept after its end, so it must not hold its request
     */
    public void add(
            Object key,
            EndpointInfo endpoint,
            List<String> traits,
            Optional<String> probedTrait,
            Duration sentAt) {
        Incarnation incarnation = Incarnation.of(endpoint);
        boolean isNew;
        boolean isLost;
        synchronized (this) {
            SilentEndpoint silent =
                    mEndpoints.computeIfAbsent(incarnation, id -> new SilentEndpoint(endpoint));
            if (silent.mIsLeaving) {
                return;
            }
            PendingAttempt attempt = silent.mAttempts.get(key);
            isNew = attempt == null;
            if (attempt == null) {
                if (silent.mAttempts.size() >= MAX_ATTEMPTS_PER_ENDPOINT) {
                    return;
                }
                attempt = new PendingAttempt(new Attempt(traits, probedTrait, sentAt));
                silent.mAttempts.put(key, attempt);
                silent.mUpdatedAt = mClock.now();
                evict();
                mIsEmpty = false;
            }
            Duration silence = mClock.now().minus(sentAt);
            isLost = attempt.countOnce(silence.compareTo(MAX_SILENCE) > 0);
        }
        if (isLost) {
            mOnLost.accept(traits);
        }
        FleetSnapshot snapshot = mSnapshot.get();
        if (isNew && !isReady(snapshot, incarnation, endpoint.service())) {
            update(snapshot);
        }
    }

    /** Records that an attempt has ended; if it is known, it stays unanswered. */
    public void end(Object key, EndpointInfo endpoint) {
        if (mIsEmpty) {
            return;
        }
        synchronized (this) {
            SilentEndpoint silent = mEndpoints.get(Incarnation.of(endpoint));
            PendingAttempt attempt = silent == null ? null : silent.mAttempts.get(key);
            if (attempt != null) {
                attempt.mEndedAt = mClock.now();
            }
        }
    }

    /** Removes an attempt whose result is known. */
    public void remove(Object key, EndpointInfo endpoint) {
        if (mIsEmpty) {
            return;
        }
        synchronized (this) {
            SilentEndpoint silent = mEndpoints.get(Incarnation.of(endpoint));
            if (silent != null) {
                silent.mAttempts.remove(key);
                discardIfEmpty(silent);
            }
        }
    }

    /**
     * Records that an endpoint has answered an attempt, so that those which had ended before did
     * not crash it.
     *
     * @param begunAt when it began to answer
     */
    public void onAnswered(Object key, EndpointInfo endpoint, Duration begunAt) {
        if (mIsEmpty) {
            return;
        }
        synchronized (this) {
            SilentEndpoint silent = mEndpoints.get(Incarnation.of(endpoint));
            if (silent != null) {
                silent.mAnsweredAt = later(silent.mAnsweredAt, begunAt);
                silent.mAttempts.remove(key);
                silent.mAttempts.values().removeIf(attempt -> attempt.hasEndedBefore(begunAt));
                discardIfEmpty(silent);
            }
        }
    }

    /** Reports each endpoint whose start the stores no longer report, and new attempts at it. */
    void update(FleetSnapshot snapshot) {
        // Without any endpoint, it is the stores whose reports are missing.
        if (mIsEmpty || snapshot.endpointsByService().isEmpty()) {
            return;
        }
        List<Death> deaths = new ArrayList<>();
        List<List<String>> lost = new ArrayList<>();
        synchronized (this) {
            Duration now = mClock.now();
            Map<Incarnation, EndpointInfo> reported = new HashMap<>();
            snapshot.endpointsByService()
                    .values()
                    .forEach(
                            list -> list.forEach(each -> reported.put(Incarnation.of(each), each)));
            mEndpoints.forEach(
                    (incarnation, silent) -> {
                        EndpointInfo endpoint = reported.get(incarnation);
                        if (endpoint != null && !endpoint.isReady()) {
                            silent.mIsLeaving = true;
                            silent.mAttempts.clear();
                        } else if (endpoint == null) {
                            deaths.add(silent.death(now));
                            for (PendingAttempt attempt : silent.mAttempts.values()) {
                                attempt.mIsReported = true;
                                if (attempt.countOnce(true)) {
                                    lost.add(attempt.mAttempt.traits());
                                }
                            }
                        }
                    });
            evict();
            mIsEmpty = mEndpoints.isEmpty();
        }
        lost.forEach(mOnLost);
        deaths.stream().filter(death -> !death.attempts().isEmpty()).forEach(this::report);
    }

    private void report(Death death) {
        Logger.warn(
                "endpoint {} at {}, started at {}, is no longer reported and left {} attempts"
                        + " unanswered; it counts as dead since {} ms",
                death.endpoint().id(),
                death.endpoint().address(),
                death.endpoint().startedAt(),
                death.attempts().size(),
                mClock.now().minus(death.diedAt()).toMillis());
        mOnDeath.accept(death);
    }

    private static boolean isReady(
            FleetSnapshot snapshot, Incarnation incarnation, String service) {
        return snapshot.endpoints(service).stream()
                .anyMatch(each -> each.isReady() && Incarnation.of(each).equals(incarnation));
    }

    private void discardIfEmpty(SilentEndpoint silent) {
        if (silent.mAttempts.isEmpty() && !silent.mIsLeaving) {
            mEndpoints.remove(Incarnation.of(silent.mInfo));
            mIsEmpty = mEndpoints.isEmpty();
        }
    }

    private void evict() {
        Duration oldest = mClock.now().minus(RETENTION);
        mEndpoints.values().removeIf(silent -> silent.mUpdatedAt.compareTo(oldest) < 0);
        Iterator<Incarnation> leastRecent = mEndpoints.keySet().iterator();
        for (int surplus = mEndpoints.size() - MAX_ENDPOINTS; surplus > 0; surplus--) {
            leastRecent.next();
            leastRecent.remove();
        }
    }

    private static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
