package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Finds the trait of requests that crashes endpoints.
 *
 * <p>Each death of an endpoint makes the traits of all requests that were lost with it suspects. A
 * trait is cleared of all deaths before the moment at which an endpoint began to answer a request
 * with it. The culprit is a trait with more deaths left than any other: a part that all prompts
 * share is lost at every death too, but is soon cleared by other requests. Traits that were never
 * answered are judged first, since others were harmless before.
 *
 * <p>The deaths must also be improbable as coincidences. Only those in sequence count, at which a
 * request was lost that had been sent after the previous death, since an outage of several
 * endpoints would otherwise count once for each. A few suffice if the trait was lost at most of the
 * recent deaths. More are needed if it was not, or if many requests without the trait are lost too.
 *
 * <p>Not thread-safe.
 */
final class CrashEvidence {
    /** Minimum deaths in sequence that make a trait the culprit. */
    private static final int MIN_DEATHS = 3;

    /** Probability of a coincidence below which a trait lost at most recent deaths is guilty. */
    private static final double MAX_COINCIDENCE_OF_MAIN_SUSPECT = 1e-5;

    private static final double SHARE_OF_MAIN_SUSPECT = 0.6;

    /** The same for a trait lost at nearly all recent deaths. */
    private static final double MAX_COINCIDENCE_OF_SOLE_SUSPECT = 1e-3;

    private static final double SHARE_OF_SOLE_SUSPECT = 0.9;
    private static final int MIN_DEATHS_OF_SOLE_SUSPECT = 4;

    /** The same for a trait lost at many deaths in sequence, if several traits crash endpoints. */
    private static final double MAX_COINCIDENCE_OF_SEQUENCE = 1e-4;

    private static final int MIN_SEQUENCE = 6;

    /** Deaths in sequence that make a trait guilty which was answered before them. */
    private static final int MIN_SEQUENCE_OF_PROVEN = 8;

    /** Deaths after which one of several equal suspects is chosen. */
    private static final int DEATHS_TO_BREAK_TIE = 6;

    /** Time after a death for which it counts. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private static final int MAX_SUSPECTS = 4_096;
    private static final int MAX_DEATHS_PER_SUSPECT = 64;
    private static final int MAX_EXPLAINED_DEATHS = 1_024;

    /** Suspects by trait, the least recently lost one first. */
    private final Map<String, Suspect> mSuspects = new LinkedHashMap<>();

    private final Set<String> mExplainedDeaths = new LinkedHashSet<>();

    /** Deaths without a known cause, by endpoint, and when the first entry noticed each. */
    private final Map<String, Duration> mUnexplainedDeaths = new LinkedHashMap<>();

    /** Endpoints at whose deaths requests with one trait were lost, and when each was sent. */
    private static final class Suspect {
        private final Map<String, Duration> mSentAt = new LinkedHashMap<>();
    }

    /** A death at which a request with a certain trait was lost. */
    private record Loss(Duration sentAt, Duration diedAt) {}

    /**
     * Adds a death of an endpoint.
     *
     * @param endpoint id and start of the endpoint
     * @param diedAt when the death was noticed
     * @param sentAtByTrait traits of the lost requests, and when the last request with each was
     *     sent
     */
    void addDeath(String endpoint, Duration diedAt, Map<String, Duration> sentAtByTrait) {
        if (mExplainedDeaths.contains(endpoint)) {
            return;
        }
        Duration knownSince = mUnexplainedDeaths.getOrDefault(endpoint, diedAt);
        mUnexplainedDeaths.merge(endpoint, diedAt, (a, b) -> a.compareTo(b) < 0 ? a : b);
        sentAtByTrait.forEach(
                (trait, sentAt) -> {
                    if (sentAt.compareTo(knownSince) > 0) {
                        // The endpoint has lived on, so it is unknown when it really dies.
                        return;
                    }
                    Suspect suspect = mSuspects.remove(trait);
                    if (suspect == null) {
                        suspect = new Suspect();
                    }
                    if (suspect.mSentAt.size() < MAX_DEATHS_PER_SUSPECT) {
                        suspect.mSentAt.merge(
                                endpoint, sentAt, (a, b) -> a.compareTo(b) > 0 ? a : b);
                    }
                    mSuspects.put(trait, suspect);
                });
        evict(diedAt);
    }

    /** Adds a death whose cause is known, so that it is no evidence against any trait. */
    void addExplainedDeath(String endpoint) {
        mExplainedDeaths.add(endpoint);
        mUnexplainedDeaths.remove(endpoint);
        if (mExplainedDeaths.size() > MAX_EXPLAINED_DEATHS) {
            mExplainedDeaths.remove(mExplainedDeaths.iterator().next());
        }
        removeLosses(endpoint::equals);
    }

    /** Marks the deaths at which requests with a trait were lost as explained by that trait. */
    void explainBy(String trait) {
        Suspect culprit = mSuspects.get(trait);
        if (culprit != null) {
            List.copyOf(culprit.mSentAt.keySet()).forEach(this::addExplainedDeath);
        }
    }

    /** Clears a trait of all deaths before an endpoint began to answer a request with it. */
    void addAnswer(String trait, Duration begunAt) {
        Suspect suspect = mSuspects.get(trait);
        if (suspect != null
                && suspect.mSentAt
                        .keySet()
                        .removeIf(endpoint -> diedAt(endpoint).compareTo(begunAt) < 0)
                && suspect.mSentAt.isEmpty()) {
            mSuspects.remove(trait);
        }
    }

    /**
     * Returns the traits that crash endpoints, as far as the evidence suffices.
     *
     * @param until later deaths are ignored, since other entries may not have reported them yet
     * @param lossRate returns the fraction of recent attempts that were lost, without those for
     *     which a predicate on their traits holds
     * @param history requests and answers before the deaths
     */
    List<String> culprits(
            Duration until,
            ToDoubleFunction<Predicate<List<String>>> lossRate,
            TraitHistory history) {
        Set<String> strong = strongSuspects();
        if (strong.isEmpty()) {
            return List.of();
        }
        double rate = lossRate.applyAsDouble(traits -> traits.stream().anyMatch(strong::contains));
        List<String> unproven = unprovenWithLongSequence(until, rate, history);
        if (!unproven.isEmpty()) {
            return unproven;
        }
        return leader(until, history, trait -> history.begunAt(trait).isEmpty())
                .filter(trait -> isImprobable(trait, until, rate))
                .or(
                        () ->
                                leader(until, history, trait -> true)
                                        .filter(trait -> isImprobableForProven(trait, until, rate)))
                .map(List::of)
                .orElse(List.of());
    }

    /**
     * Returns the traits that were never answered and whose deaths in sequence suffice whatever
     * other traits were lost at them; of those lost at the same deaths, the rarest, and none that
     * was only lost at deaths of another one.
     */
    private List<String> unprovenWithLongSequence(
            Duration until, double lossRate, TraitHistory history) {
        Map<List<Loss>, String> rarest = new LinkedHashMap<>();
        mSuspects.entrySet().stream()
                .filter(each -> each.getValue().mSentAt.size() >= MIN_SEQUENCE)
                .map(Map.Entry::getKey)
                .filter(trait -> history.begunAt(trait).isEmpty())
                .sorted(rarestFirst(history))
                .forEach(trait -> rarest.putIfAbsent(lossesUntil(trait, until), trait));
        rarest.keySet().removeIf(losses -> !isLongSequence(losses, lossRate));
        return rarest.values().stream()
                .filter(trait -> rarest.values().stream().noneMatch(each -> covers(each, trait)))
                .toList();
    }

    /** Returns whether a trait was lost at all deaths of another one and at further ones. */
    private boolean covers(String trait, String other) {
        Set<String> deaths = mSuspects.getOrDefault(trait, new Suspect()).mSentAt.keySet();
        Set<String> covered = mSuspects.getOrDefault(other, new Suspect()).mSentAt.keySet();
        return deaths.size() > covered.size() && deaths.containsAll(covered);
    }

    private static boolean isLongSequence(List<Loss> losses, double lossRate) {
        int sequence = inSequence(losses);
        return sequence >= MIN_SEQUENCE
                && Math.pow(lossRate, sequence) <= MAX_COINCIDENCE_OF_SEQUENCE;
    }

    private static Comparator<String> rarestFirst(TraitHistory history) {
        return Comparator.comparingInt(history::requests).thenComparing(Comparator.naturalOrder());
    }

    /** Returns the trait with the most deaths, of those for which a predicate holds. */
    private Optional<String> leader(
            Duration until, TraitHistory history, Predicate<String> isCandidate) {
        List<String> leaders = new ArrayList<>();
        int most = MIN_DEATHS;
        for (Map.Entry<String, Suspect> each : mSuspects.entrySet()) {
            if (each.getValue().mSentAt.size() < most || !isCandidate.test(each.getKey())) {
                continue;
            }
            int deaths = lossesUntil(each.getKey(), until).size();
            if (deaths > most) {
                leaders.clear();
                most = deaths;
            }
            if (deaths == most) {
                leaders.add(each.getKey());
            }
        }
        if (leaders.size() > 1 && most < DEATHS_TO_BREAK_TIE) {
            return Optional.empty();
        }
        // Parts that are always lost together may be all of a prompt; the rarest affects fewest.
        return leaders.stream().min(rarestFirst(history));
    }

    private Set<String> strongSuspects() {
        Set<String> strong = new HashSet<>();
        mSuspects.forEach(
                (trait, suspect) -> {
                    if (suspect.mSentAt.size() >= MIN_DEATHS
                            && deathsInSequence(trait) >= MIN_DEATHS) {
                        strong.add(trait);
                    }
                });
        return strong;
    }

    /**
     * Returns whether the deaths of a trait without any answer are unlikely to be coincidences.
     *
     * @param lossRate probability that an attempt is lost if its traits are harmless
     */
    private boolean isImprobable(String trait, Duration until, double lossRate) {
        List<Loss> losses = lossesUntil(trait, until);
        int sequence = inSequence(losses);
        double coincidence = Math.pow(lossRate, sequence);
        if (sequence < MIN_DEATHS || coincidence > MAX_COINCIDENCE_OF_SOLE_SUSPECT) {
            return false;
        }
        double share = shareOfRecentDeaths(losses, until);
        boolean isSoleSuspect =
                share >= SHARE_OF_SOLE_SUSPECT && losses.size() >= MIN_DEATHS_OF_SOLE_SUSPECT;
        boolean isMainSuspect =
                share >= SHARE_OF_MAIN_SUSPECT && coincidence <= MAX_COINCIDENCE_OF_MAIN_SUSPECT;
        return isSoleSuspect || isMainSuspect;
    }

    /** Returns the same for a trait that was harmless before. */
    private boolean isImprobableForProven(String trait, Duration until, double lossRate) {
        List<Loss> losses = lossesUntil(trait, until);
        int sequence = inSequence(losses);
        return sequence >= MIN_SEQUENCE_OF_PROVEN
                && Math.pow(lossRate, sequence) <= MAX_COINCIDENCE_OF_MAIN_SUSPECT
                && shareOfRecentDeaths(losses, until) >= SHARE_OF_MAIN_SUSPECT;
    }

    private double shareOfRecentDeaths(List<Loss> losses, Duration until) {
        Duration first = losses.get(0).diedAt();
        long recentDeaths =
                mUnexplainedDeaths.values().stream()
                        .filter(diedAt -> diedAt.compareTo(first) >= 0)
                        .filter(diedAt -> diedAt.compareTo(until) <= 0)
                        .count();
        return losses.size() / (double) Math.max(1, recentDeaths);
    }

    private static int inSequence(List<Loss> losses) {
        int count = 0;
        Duration lastDeath = Duration.ofSeconds(Long.MIN_VALUE);
        for (Loss loss : losses) {
            if (loss.sentAt().compareTo(lastDeath) > 0) {
                count++;
                lastDeath = loss.diedAt();
            }
        }
        return count;
    }

    /** Returns the number of deaths in sequence that count against a trait. */
    int deathsInSequence(String trait) {
        return inSequence(lossesUntil(trait, Duration.ofSeconds(Long.MAX_VALUE)));
    }

    private List<Loss> lossesUntil(String trait, Duration until) {
        return mSuspects.getOrDefault(trait, new Suspect()).mSentAt.entrySet().stream()
                .map(each -> new Loss(each.getValue(), diedAt(each.getKey())))
                .filter(loss -> loss.diedAt().compareTo(until) <= 0)
                .sorted(Comparator.comparing(Loss::diedAt))
                .toList();
    }

    private Duration diedAt(String endpoint) {
        return mUnexplainedDeaths.getOrDefault(endpoint, Duration.ZERO);
    }

    boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    private void evict(Duration now) {
        Duration oldest = now.minus(RETENTION);
        if (mUnexplainedDeaths.values().removeIf(each -> each.compareTo(oldest) < 0)) {
            removeLosses(endpoint -> !mUnexplainedDeaths.containsKey(endpoint));
        }
        Iterator<String> leastRecent = mSuspects.keySet().iterator();
        for (int surplus = mSuspects.size() - MAX_SUSPECTS; surplus > 0; surplus--) {
            leastRecent.next();
            leastRecent.remove();
        }
    }

    private void removeLosses(Predicate<String> endpoint) {
        mSuspects
                .values()
                .removeIf(
                        suspect ->
                                suspect.mSentAt.keySet().removeIf(endpoint)
                                        && suspect.mSentAt.isEmpty());
    }
}
