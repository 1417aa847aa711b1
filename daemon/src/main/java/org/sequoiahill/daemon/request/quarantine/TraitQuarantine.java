package org.sequoiahill.daemon.request.quarantine;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.EntryRank;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.CrashReport;
import org.sequoiahill.protocol.gen.Crashes;
import org.sequoiahill.protocol.gen.EndpointDeath;
import org.sequoiahill.protocol.gen.FleetChange;
import org.sequoiahill.protocol.gen.LostTrait;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.sequoiahill.protocol.gen.QuarantineChange;
import org.tinylog.Logger;

/**
 * Refuses requests with a trait that crashes endpoints, at all entries of a fleet.
 *
 * <p>Entries report deaths of endpoints, and answers to requests with suspected traits, to each
 * other, and each entry judges all of them by its own {@link CrashEvidence}. A trait under
 * quarantine becomes part of the fleet's replicated state, so that entries which start later know
 * it too. It is released once a request with it is answered; after some time, one request at a time
 * is admitted as a probe.
 */
public final class TraitQuarantine implements Crashes.Iface {
    /** Time for which observations are collected before they are reported. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(15);

    /** Time after a death in which all entries report what they have lost. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(100);

    /** Time in which judgements are made at most once. */
    private static final Duration MIN_JUDGEMENT_INTERVAL = Duration.ofMillis(20);

    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Delay per rank of an entry until it proposes a change, which others then need not do. */
    private static final Duration PROPOSAL_DELAY_PER_RANK = Duration.ofMillis(15);

    /** Time in which other entries answer a question about a trait. */
    private static final Duration QUESTION_TIME = Duration.ofMillis(120);

    /** Delay per rank of an entry until it answers a question, which others then need not do. */
    private static final Duration ANSWER_DELAY_PER_RANK = Duration.ofMillis(1);

    private static final Duration MAX_ANSWER_DELAY = Duration.ofMillis(20);

    /** Fraction of an engine's stated time for a prompt before which it can't begin to answer. */
    private static final double MIN_PROMPT_TIME_RATIO = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Object mLock = new Object();
    private final Identity mSelf;
    private final Supplier<FleetSnapshot> mSnapshot;
    private final ReportSender mPeers;
    private final Consumer<FleetChange> mStores;
    private final DelayedExecutor mRunner;
    private final MonotonicClock mClock;
    private final MeterRegistry mMetrics;
    private final CrashEvidence mEvidence = new CrashEvidence();
    private final LossRate mLossRate = new LossRate();
    private final TraitHistory mHistory = new TraitHistory();

    private final TraitQuestions mQuestions = new TraitQuestions();
    private final QuarantinedTraits mQuarantined = new QuarantinedTraits();
    private final UnansweredAttempts mUnanswered;
    private CrashObservations mPending = new CrashObservations();
    private Map<String, Integer> mReplicated = Map.of();
    private Duration mLastJudgementAt = Duration.ZERO;
    private boolean mIsReportScheduled;
    private boolean mIsCheckScheduled;
    private volatile boolean mIsIdle = true;

    private TraitQuarantine(
            Identity self,
            Supplier<FleetSnapshot> snapshot,
            ReportSender peers,
            Consumer<FleetChange> stores,
            DelayedExecutor runner,
            MonotonicClock clock,
            MeterRegistry metrics) {
        mSelf = self;
        mSnapshot = snapshot;
        mPeers = peers;
        mStores = stores;
        mRunner = runner;
        mClock = clock;
        mMetrics = metrics;
        mUnanswered =
                UnansweredAttempts.of(
                        snapshot,
                        clock,
                        this::onSilentDeath,
                        traits -> mLossRate.addLost(clock.now(), traits));
    }

    /**
     * Returns the quarantine of one entry.
     *
     * @param peers sends reports to other entries
     * @param stores proposes a change of the fleet's state, which may fail
     * @param metrics counts deaths, refusals and traits
     */
    public static TraitQuarantine of(
            Identity self,
            Supplier<FleetSnapshot> snapshot,
            ReportSender peers,
            Consumer<FleetChange> stores,
            DelayedExecutor runner,
            MonotonicClock clock,
            MeterRegistry metrics) {
        TraitQuarantine quarantine =
                new TraitQuarantine(self, snapshot, peers, stores, runner, clock, metrics);
        metrics.gauge("sequoia.quarantine.traits", quarantine, TraitQuarantine::size);
        return quarantine;
    }

    /** Sends reports to other entries; a report that can't be delivered is lost. */
    @FunctionalInterface
    public interface ReportSender {
        /** Sends a report to the entry at a control address. */
        void send(HostPort entry, CrashReport report);
    }

    /** Decides on a request that has arrived. */
    public QuarantineDecision admit(List<String> traits) {
        mHistory.addRequest(traits);
        if (mIsIdle) {
            return QuarantineDecision.ADMITTED;
        }
        synchronized (mLock) {
            QuarantineDecision decision = mQuarantined.admit(traits, mClock.now(), rank());
            if (decision.isRefused()) {
                mMetrics.counter("sequoia.quarantine.refused").increment();
            }
            return decision;
        }
    }

    /** Decides on an admitted request that is about to be sent to an endpoint. */
    public QuarantineDecision recheck(List<String> traits) {
        if (mIsIdle) {
            return QuarantineDecision.ADMITTED;
        }
        synchronized (mLock) {
            return mQuarantined.recheck(traits, mClock.now());
        }
    }

    /**
     * Returns the attempts without an answer, from which deaths without a closed connection show.
     */
    public UnansweredAttempts unanswered() {
        return mUnanswered;
    }

    private EntryRank rank() {
        return EntryRank.of(mSnapshot.get(), mSelf.vm());
    }

    /**
     * Records that an endpoint closed the connection of an attempt that it had not begun to answer,
     * or just had.
     *
     * @param traits traits of the request
     * @param promptTokens tokens of the request's prompt
     * @param sentAt when the request was sent
     * @param hasHead whether the head of the response had been received
     */
    public void onLost(
            EndpointInfo endpoint,
            List<String> traits,
            int promptTokens,
            Duration sentAt,
            boolean hasHead) {
        Duration now = mClock.now();
        if (!hasHead && now.minus(sentAt).compareTo(minPromptTime(endpoint, promptTokens)) < 0) {
            // The endpoint refused the connection, for example because it has too many.
            return;
        }
        mLossRate.addLost(now, traits);
        Map<String, Duration> sentAtByTrait = new HashMap<>();
        traits.forEach(trait -> sentAtByTrait.put(trait, sentAt));
        synchronized (mLock) {
            mMetrics.counter("sequoia.quarantine.lost").increment();
            recordDeath(endpoint, now, sentAtByTrait);
        }
    }

    private void onSilentDeath(UnansweredAttempts.Death death) {
        synchronized (mLock) {
            mMetrics.counter("sequoia.quarantine.unanswered").increment(death.attempts().size());
            recordDeath(death.endpoint(), death.diedAt(), death.sentAtByTrait());
        }
        death.probedTraits().forEach(this::onProbeFailed);
    }

    private void recordDeath(
            EndpointInfo endpoint, Duration diedAt, Map<String, Duration> sentAtByTrait) {
        String death = endpoint.id() + "@" + endpoint.startedAt();
        mPending.addDeath(death, diedAt, sentAtByTrait);
        scheduleReport();
        addDeath(death, diedAt, sentAtByTrait);
    }

    private Duration minPromptTime(EndpointInfo endpoint, int promptTokens) {
        return mSnapshot
                .get()
                .table()
                .flatMap(table -> table.service(endpoint.service()))
                .flatMap(service -> service.engine())
                .map(engine -> MIN_PROMPT_TIME_RATIO * promptTokens / engine.prefillRate())
                .map(seconds -> Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)))
                .orElse(Duration.ZERO);
    }

    /** Records that a probe crashed its endpoint. */
    public void onProbeFailed(String trait) {
        synchronized (mLock) {
            if (mQuarantined.contains(trait)) {
                int failedProbes = mQuarantined.failedProbes(trait) + 1;
                quarantine(trait, failedProbes);
                propose(trait, true, failedProbes);
            }
        }
    }

    /**
     * Records that a request was answered.
     *
     * @param traits traits of the request
     * @param begunAt when the endpoint began to answer
     */
    public void onAnswered(List<String> traits, Duration begunAt) {
        mLossRate.addAnswered(mClock.now());
        mHistory.addAnswer(traits, begunAt);
        if (mIsIdle) {
            return;
        }
        synchronized (mLock) {
            traits.forEach(trait -> addAnswer(trait, begunAt));
            updateIdle();
        }
    }

    /** Applies the traits under quarantine in the fleet's state, and looks for dead endpoints. */
    public void update(FleetSnapshot snapshot) {
        mUnanswered.update(snapshot);
        synchronized (mLock) {
            Map<String, Integer> replicated = snapshot.state().quarantinedTraits();
            if (replicated.equals(mReplicated)) {
                return;
            }
            mReplicated.keySet().stream()
                    .filter(trait -> !replicated.containsKey(trait))
                    .forEach(mQuarantined::remove);
            mReplicated = replicated;
            replicated.forEach(
                    (trait, failedProbes) -> {
                        if (mQuarantined.failedProbes(trait) < failedProbes) {
                            quarantine(trait, failedProbes);
                        }
                    });
            updateIdle();
        }
    }

    @Override
    public void report(CrashReport report) {
        Duration now = mClock.now();
        synchronized (mLock) {
            CrashObservations received = CrashObservations.fromThrift(report, now);
            received.deaths()
                    .forEach(
                            (endpoint, death) ->
                                    addDeath(endpoint, death.diedAt(), death.sentAtByTrait()));
            received.answers()
                    .forEach(
                            (trait, begunAt) -> {
                                mHistory.addAnswer(List.of(trait), begunAt);
                                mQuestions.onReply(trait, now);
                                addAnswer(trait, begunAt);
                            });
            received.verdicts().stream()
                    .filter(trait -> !mQuarantined.contains(trait))
                    .forEach(trait -> quarantine(trait, 0));
            received.questions().forEach(trait -> onQuestion(trait, now));
            mQuestions.evict(now);
            updateIdle();
        }
    }

    private void addDeath(String endpoint, Duration diedAt, Map<String, Duration> sentAtByTrait) {
        if (sentAtByTrait.keySet().stream().anyMatch(mQuarantined::contains)) {
            mEvidence.addExplainedDeath(endpoint);
        } else {
            mEvidence.addDeath(endpoint, diedAt, sentAtByTrait);
            sentAtByTrait
                    .keySet()
                    .forEach(
                            trait ->
                                    mHistory.begunAt(trait)
                                            .ifPresent(at -> mEvidence.addAnswer(trait, at)));
        }
        updateIdle();
        if (!mEvidence.isEmpty()) {
            scheduleJudgement(SETTLE_TIME);
        }
    }

    private void scheduleJudgement(Duration delay) {
        Duration at = mClock.now().plus(delay);
        if (mLastJudgementAt.compareTo(at) < 0) {
            mLastJudgementAt = at.plus(MIN_JUDGEMENT_INTERVAL);
            mRunner.runAfter(delay.plus(MIN_JUDGEMENT_INTERVAL), this::judge);
        }
    }

    /** Puts traits under quarantine against which there is enough evidence. */
    private void judge() {
        synchronized (mLock) {
            Duration until = mClock.now().minus(SETTLE_TIME);
            List<String> culprits = culprits(until);
            while (!culprits.isEmpty() && culprits.stream().allMatch(this::isUncontested)) {
                culprits.forEach(this::convict);
                culprits = culprits(until);
            }
            updateIdle();
        }
    }

    private void convict(String trait) {
        Logger.warn(
                "trait {} is put under quarantine: requests with it were lost at {} deaths of"
                        + " endpoints in sequence and never answered since",
                trait,
                mEvidence.deathsInSequence(trait));
        quarantine(trait, 0);
        mPending.addVerdict(trait);
        scheduleReport();
        mRunner.runAfter(PROPOSAL_DELAY_PER_RANK.multipliedBy(rank().rank()), this::proposeMissing);
    }

    /** Returns whether the other entries have had time to contradict; asks them if not. */
    private boolean isUncontested(String trait) {
        Duration now = mClock.now();
        Optional<Duration> age = mQuestions.age(trait, now);
        if (age.isEmpty()) {
            mQuestions.evict(now);
            mQuestions.ask(trait, now);
            mPending.addQuestion(trait);
            scheduleReport();
        }
        Duration left = QUESTION_TIME.plus(REPORT_DELAY).minus(age.orElse(Duration.ZERO));
        if (left.isNegative() || left.isZero()) {
            return true;
        }
        scheduleJudgement(left);
        return false;
    }

    private List<String> culprits(Duration until) {
        return mEvidence.culprits(
                until, isExplained -> mLossRate.get(mClock.now(), isExplained), mHistory);
    }

    private void onQuestion(String trait, Duration askedAt) {
        mQuestions.ask(trait, askedAt);
        if (mHistory.begunAt(trait).isPresent()) {
            Duration delay = ANSWER_DELAY_PER_RANK.multipliedBy(rank().rank());
            mRunner.runAfter(
                    delay.compareTo(MAX_ANSWER_DELAY) < 0 ? delay : MAX_ANSWER_DELAY,
                    () -> answerQuestion(trait, askedAt));
        }
    }

    /** Reports when a trait was last answered, unless another entry has done so. */
    private void answerQuestion(String trait, Duration askedAt) {
        synchronized (mLock) {
            if (!mQuestions.isReplied(trait, askedAt)) {
                mHistory.begunAt(trait).ifPresent(begunAt -> mPending.addAnswer(trait, begunAt));
                scheduleReport();
            }
        }
    }

    private void addAnswer(String trait, Duration begunAt) {
        if (!mQuarantined.contains(trait)) {
            mEvidence.addAnswer(trait, begunAt);
        } else if (begunAt.compareTo(mQuarantined.since(trait)) > 0) {
            Logger.warn("trait {} is released: a request with it was answered", trait);
            mQuarantined.remove(trait);
            propose(trait, false, 0);
            mPending.addAnswer(trait, begunAt);
            scheduleReport();
        }
    }

    private void quarantine(String trait, int failedProbes) {
        mQuarantined.put(trait, mClock.now(), failedProbes);
        mEvidence.explainBy(trait);
        mIsIdle = false;
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (!mIsCheckScheduled) {
            mIsCheckScheduled = true;
            mRunner.runAfter(CHECK_INTERVAL, this::check);
        }
    }

    private void check() {
        proposeMissing();
        synchronized (mLock) {
            mIsCheckScheduled = false;
            if (!mQuarantined.isEmpty()) {
                scheduleCheck();
            }
        }
    }

    /** Proposes the verdicts that the fleet's state lacks, and the release of unused traits. */
    private void proposeMissing() {
        synchronized (mLock) {
            Duration now = mClock.now();
            mQuarantined
                    .traits()
                    .forEach(
                            trait -> {
                                int failedProbes = mQuarantined.failedProbes(trait);
                                if (mReplicated.getOrDefault(trait, -1) < failedProbes) {
                                    propose(trait, true, failedProbes);
                                } else if (mQuarantined.isUnused(trait, now)) {
                                    propose(trait, false, 0);
                                }
                            });
        }
    }

    private void propose(String trait, boolean isQuarantined, int failedProbes) {
        mStores.accept(
                FleetChange.quarantine(new QuarantineChange(trait, isQuarantined, failedProbes)));
    }

    private void scheduleReport() {
        if (!mIsReportScheduled) {
            mIsReportScheduled = true;
            mRunner.runAfter(REPORT_DELAY, this::sendReport);
        }
    }

    private void sendReport() {
        CrashReport report;
        synchronized (mLock) {
            mIsReportScheduled = false;
            report = mPending.toThrift(mSelf.sender(), mClock.now());
            mPending = new CrashObservations();
        }
        for (EndpointDeath death : report.getDeaths()) {
            Logger.warn(
                    "endpoint {} died before it had answered requests with traits {}",
                    death.getEndpoint(),
                    death.getTraits().stream().map(LostTrait::getTrait).toList());
        }
        for (Participant entry : mSnapshot.get().participants(ParticipantRole.ENTRY)) {
            if (!entry.getVm().equals(mSelf.vm())) {
                mPeers.send(HostPort.parse(entry.getControl()), report);
            }
        }
    }

    private void updateIdle() {
        mIsIdle = mQuarantined.isEmpty() && mEvidence.isEmpty();
    }

    private int size() {
        synchronized (mLock) {
            return mQuarantined.size();
        }
    }
}
