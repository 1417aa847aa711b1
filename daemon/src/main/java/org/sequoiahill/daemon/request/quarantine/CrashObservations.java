package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahill.protocol.gen.AnsweredTrait;
import org.sequoiahill.protocol.gen.CrashReport;
import org.sequoiahill.protocol.gen.EndpointDeath;
import org.sequoiahill.protocol.gen.LostTrait;
import org.sequoiahill.protocol.gen.Sender;

/**
 * What one entry has observed in a short time: deaths of endpoints, answers that clear suspects,
 * and its verdicts. Times are those of this process's clock; messages carry ages instead. Not
 * thread-safe.
 */
final class CrashObservations {
    private static final int MAX_ITEMS = 512;
    private static final int MAX_TRAIT_LENGTH = 512;
    private static final Duration MAX_AGE = Duration.ofDays(1);

    private final Map<String, Death> mDeaths = new LinkedHashMap<>();
    private final Map<String, Duration> mAnswers = new LinkedHashMap<>();
    private final Set<String> mVerdicts = new LinkedHashSet<>();
    private final Set<String> mQuestions = new LinkedHashSet<>();

    /**
     * Death of an endpoint.
     *
     * @param diedAt when the death was noticed
     * @param sentAtByTrait traits of the lost requests, and when the last request with each was
     *     sent
     */
    record Death(Duration diedAt, Map<String, Duration> sentAtByTrait) {}

    /** Returns the valid observations of a message; parts beyond the limits are ignored. */
    static CrashObservations fromThrift(CrashReport report, Duration now) {
        CrashObservations observations = new CrashObservations();
        report.getDeaths().stream()
                .limit(MAX_ITEMS)
                .forEach(
                        death ->
                                observations.addDeath(
                                        death.getEndpoint(),
                                        ago(now, death.getAgeMillis()),
                                        sentAtByTrait(death, now)));
        report.getAnswered().stream()
                .limit(MAX_ITEMS)
                .forEach(
                        each ->
                                observations.addAnswer(
                                        each.getTrait(), ago(now, each.getAgeMillis())));
        report.getQuarantined().stream()
                .limit(MAX_ITEMS)
                .filter(CrashObservations::isValidTrait)
                .forEach(observations::addVerdict);
        report.getSuspected().stream()
                .limit(MAX_ITEMS)
                .filter(CrashObservations::isValidTrait)
                .forEach(observations::addQuestion);
        return observations;
    }

    private static Map<String, Duration> sentAtByTrait(EndpointDeath death, Duration now) {
        Map<String, Duration> traits = new HashMap<>();
        death.getTraits().stream()
                .limit(MAX_ITEMS)
                .filter(lost -> isValidTrait(lost.getTrait()))
                .forEach(lost -> traits.put(lost.getTrait(), ago(now, lost.getSentMillisAgo())));
        return traits;
    }

    private static boolean isValidTrait(String trait) {
        return trait.length() <= MAX_TRAIT_LENGTH;
    }

    /** Adds requests that were lost at the death of an endpoint. */
    void addDeath(String endpoint, Duration diedAt, Map<String, Duration> sentAtByTrait) {
        Map<String, Duration> known =
                mDeaths.computeIfAbsent(endpoint, id -> new Death(diedAt, new HashMap<>()))
                        .sentAtByTrait();
        if (known.size() < MAX_ITEMS) {
            sentAtByTrait.forEach(
                    (trait, sentAt) -> known.merge(trait, sentAt, CrashObservations::later));
        }
    }

    /** Adds an answer to a request with a trait. */
    void addAnswer(String trait, Duration begunAt) {
        mAnswers.merge(trait, begunAt, CrashObservations::later);
    }

    /** Adds a trait that was put under quarantine. */
    void addVerdict(String trait) {
        mVerdicts.add(trait);
    }

    /** Adds a trait that will be put under quarantine unless another entry knows of an answer. */
    void addQuestion(String trait) {
        mQuestions.add(trait);
    }

    /** Returns the deaths by endpoint. */
    Map<String, Death> deaths() {
        return mDeaths;
    }

    /** Returns the answered traits, and when the endpoints began to answer. */
    Map<String, Duration> answers() {
        return mAnswers;
    }

    /** Returns the traits that were put under quarantine. */
    Set<String> verdicts() {
        return mVerdicts;
    }

    /** Returns the traits that will be put under quarantine. */
    Set<String> questions() {
        return mQuestions;
    }

    /** Returns the message with these observations. */
    CrashReport toThrift(Sender sender, Duration now) {
        List<EndpointDeath> deaths =
                mDeaths.entrySet().stream()
                        .map(each -> toThrift(each.getKey(), each.getValue(), now))
                        .toList();
        List<AnsweredTrait> answered =
                mAnswers.entrySet().stream()
                        .map(each -> new AnsweredTrait(each.getKey(), age(each.getValue(), now)))
                        .toList();
        return new CrashReport(
                sender, deaths, answered, List.copyOf(mVerdicts), List.copyOf(mQuestions));
    }

    private static EndpointDeath toThrift(String endpoint, Death death, Duration now) {
        List<LostTrait> traits =
                death.sentAtByTrait().entrySet().stream()
                        .map(each -> new LostTrait(each.getKey(), age(each.getValue(), now)))
                        .toList();
        return new EndpointDeath(endpoint, age(death.diedAt(), now), traits);
    }

    private static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static Duration ago(Duration now, long millis) {
        return now.minusMillis(Math.min(Math.max(0, millis), MAX_AGE.toMillis()));
    }

    private static long age(Duration time, Duration now) {
        return Math.max(0, now.minus(time).toMillis());
    }
}
