package org.sequoiahill.daemon.request.quarantine;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.FleetStateMachine;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.CrashReport;
import org.sequoiahill.protocol.gen.FleetChange;
import org.sequoiahill.protocol.gen.Participant;

/**
 * Entries with the real quarantine before engines that crash, in virtual time. Requests arrive at
 * random entries, each goes to a random running engine, and one more attempt follows if that engine
 * dies.
 */
final class SimulatedFleetCrashes {
    private static final int MAX_ATTEMPTS = 2;
    private static final int ROUTES = 3;
    private static final int SUBJECTS = 60;

    /** Lease of an engine at the stores, and the interval of its heartbeats. */
    private static final double LEASE_MILLIS = 6_000;

    private static final double HEARTBEAT_MILLIS = 1_200;

    /** Time until an entry notices a silent attempt, and until it ends one, with others to try. */
    private static final Duration SILENCE = Duration.ofMillis(1_050);

    private static final Duration SILENCE_TO_REPLACE = Duration.ofMillis(1_550);
    private static final Duration DEADLINE = Duration.ofSeconds(4);

    private final SimulatedTimeline mTimeline = new SimulatedTimeline();
    private final Random mRandom;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<Participant> mParticipants = new ArrayList<>();
    private final FleetStateMachine mStore = FleetStateMachine.of(state -> publish());
    private final List<Duration> mDeaths = new ArrayList<>();
    private final Map<String, List<Duration>> mSentByBadPart = new HashMap<>();
    private final Map<String, List<Duration>> mCrashesByBadPart = new HashMap<>();
    private final List<SoundRequest> mSoundRequests = new ArrayList<>();
    private final Set<String> mBadParts = new HashSet<>();
    private boolean mIsCrashSilent;
    private double mHangingShare;
    private long mLogIndex;

    SimulatedFleetCrashes(int engines, int entries, long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < engines; i++) {
            mEngines.add(new Engine("engine-" + i));
        }
        for (int i = 0; i < entries; i++) {
            mParticipants.add(SimulatedMembers.entry(i));
        }
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry(i));
        }
    }

    /** When a sound request arrived, and whether its first attempt began to be answered. */
    private record SoundRequest(Duration at, boolean hasBegunAtFirst) {}

    /** Lets engines go dark when they crash: their connections stay open. */
    void makeCrashesSilent() {
        mIsCrashSilent = true;
    }

    /** Lets engines leave a share of the attempts without an answer, though they live. */
    void setHangingShare(double share) {
        mHangingShare = share;
    }

    /** Returns the traits under quarantine at any entry. */
    Set<String> quarantined() {
        Set<String> traits = new HashSet<>(mStore.state().quarantinedTraits().keySet());
        knownParts().stream().filter(this::isQuarantined).forEach(traits::add);
        return traits;
    }

    /** Returns whether any entry refuses requests with a trait. */
    boolean isQuarantined(String trait) {
        return mEntries.stream()
                .anyMatch(entry -> entry.mQuarantine.recheck(List.of(trait)).isRefused());
    }

    private Set<String> knownParts() {
        Set<String> parts = new HashSet<>(mBadParts);
        for (int route = 0; route < ROUTES; route++) {
            parts.add("s/part/first" + route);
            for (int subject = 0; subject < SUBJECTS; subject++) {
                parts.add("s/part/subject" + route + "-" + subject);
            }
        }
        return parts;
    }

    /** Returns the number of deaths so far. */
    int deaths() {
        return mDeaths.size();
    }

    /** Returns how often a bad part reached engines later than a time after its nth crash. */
    long sentLate(String part, int crashes, Duration later) {
        List<Duration> all = mCrashesByBadPart.getOrDefault(part, List.of());
        if (all.size() < crashes) {
            return 0;
        }
        Duration limit = all.get(crashes - 1).plus(later);
        return mSentByBadPart.get(part).stream().filter(at -> at.compareTo(limit) > 0).count();
    }

    /** Returns the fraction of sound requests whose first attempt began, of those in a time. */
    double soundFraction(Duration from, Duration to) {
        List<SoundRequest> in =
                mSoundRequests.stream()
                        .filter(request -> request.at().compareTo(from) >= 0)
                        .filter(request -> request.at().compareTo(to) < 0)
                        .toList();
        return in.stream().filter(SoundRequest::hasBegunAtFirst).count()
                / (double) Math.max(1, in.size());
    }

    Duration now() {
        return mTimeline.now();
    }

    /** Adds sound requests at a rate for a time from now. */
    void addSoundRequests(double perSecond, Duration time) {
        addRequests(
                perSecond,
                time,
                () -> {
                    int route = mRandom.nextInt(ROUTES);
                    double skewed = mRandom.nextDouble() * mRandom.nextDouble();
                    return List.of(
                            "s/request/" + mRandom.nextLong(),
                            "s/part/first" + route,
                            "s/part/subject" + route + "-" + (int) (skewed * SUBJECTS));
                });
    }

    /** Adds requests with a part that crashes engines, no two alike, for a time from now. */
    void addBadRequests(String part, boolean isFirst, double perSecond, Duration time) {
        mBadParts.add(part);
        addRequests(
                perSecond,
                time,
                () ->
                        isFirst
                                ? List.of("s/request/" + mRandom.nextLong(), part)
                                : List.of(
                                        "s/request/" + mRandom.nextLong(), "s/part/first0", part));
    }

    /** Makes a part harmless for all requests that arrive from now on. */
    void repair(String part) {
        mBadParts.remove(part);
    }

    private void addRequests(double perSecond, Duration time, Supplier<List<String>> traits) {
        double at = 0;
        double end = time.toMillis() / 1e3;
        while (at < end) {
            at += -Math.log(1 - mRandom.nextDouble()) / perSecond;
            after(millis(at * 1e3), () -> new Request(traits.get()).arrive());
        }
    }

    /** Kills engines at an interval, for a time from now. */
    void addCrashes(int atOnce, Duration interval, Duration time) {
        for (Duration at = interval; at.compareTo(time) < 0; at = at.plus(interval)) {
            after(
                    at,
                    () -> {
                        int first = mRandom.nextInt(mEngines.size());
                        for (int i = 0; i < atOnce; i++) {
                            mEngines.get((first + i) % mEngines.size()).crash();
                        }
                    });
        }
    }

    /** Resets all connections of a random entry at an interval, for a time from now. */
    void addResets(Duration interval, Duration time) {
        for (Duration at = interval; at.compareTo(time) < 0; at = at.plus(interval)) {
            after(
                    at,
                    () -> {
                        Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
                        mEngines.forEach(engine -> engine.lose(attempt -> attempt.mEntry == entry));
                    });
        }
    }

    /** Restarts an entry, which forgets all that it has not from the stores. */
    void restartEntry(int index) {
        mEntries.set(index, new Entry(index));
        mEntries.get(index).update();
    }

    void run(Duration time) {
        mTimeline.run(time);
    }

    private void after(Duration delay, Runnable action) {
        mTimeline.after(delay, action);
    }

    private static Duration millis(double millis) {
        return Duration.ofNanos((long) (millis * 1e6));
    }

    private Duration between(double least, double most) {
        return millis(least + (most - least) * mRandom.nextDouble());
    }

    private void propose(FleetChange change) {
        after(between(10, 80), () -> mStore.apply(++mLogIndex, FleetStateMachine.encode(change)));
    }

    private void publish() {
        for (Entry entry : List.copyOf(mEntries)) {
            after(between(5, 40), entry::update);
        }
    }

    /** Returns the engines that the stores report. */
    private List<EndpointInfo> reported() {
        return mEngines.stream().filter(each -> each.mIsReported).map(Engine::info).toList();
    }

    private void deliver(HostPort address, CrashReport report) {
        for (int i = 0; i < mEntries.size(); i++) {
            Entry entry = mEntries.get(i);
            if (address.toString().equals(mParticipants.get(i).getControl())) {
                after(between(2, 30), () -> entry.mQuarantine.report(report));
            }
        }
    }

    private final class Entry {
        private final TraitQuarantine mQuarantine;

        /** Starts of engines that have left an attempt unanswered for some time. */
        private final Set<EndpointInfo> mSilent = new HashSet<>();

        private List<EndpointInfo> mReported = reported();

        Entry(int index) {
            mQuarantine =
                    TraitQuarantine.of(
                            Identity.of("entry-" + index, "dc", 1),
                            this::snapshot,
                            SimulatedFleetCrashes.this::deliver,
                            SimulatedFleetCrashes.this::propose,
                            SimulatedFleetCrashes.this::after,
                            mTimeline.clock(),
                            new SimpleMeterRegistry());
        }

        private FleetSnapshot snapshot() {
            return FleetSnapshot.of(
                    mStore.state(),
                    Optional.empty(),
                    mIsCrashSilent ? Map.of("s", mReported) : Map.of(),
                    mParticipants,
                    Map.of(),
                    0);
        }

        void update() {
            mReported = reported();
            mQuarantine.update(snapshot());
        }

        boolean uses(Engine engine) {
            EndpointInfo info = engine.info();
            return mIsCrashSilent
                    ? mReported.contains(info) && !mSilent.contains(info)
                    : engine.mIsUp;
        }
    }

    private final class Request {
        private final List<String> mTraits;
        private final Optional<String> mBadPart;
        private final Entry mEntry = mEntries.get(mRandom.nextInt(mEntries.size()));
        private final Duration mArrivedAt = mTimeline.now();
        private QuarantineDecision mAdmission = QuarantineDecision.ADMITTED;
        private int mAttempts;
        private boolean mIsCounted;

        Request(List<String> traits) {
            mTraits = traits;
            mBadPart = traits.stream().filter(mBadParts::contains).findAny();
        }

        void arrive() {
            mAdmission = mEntry.mQuarantine.admit(mTraits);
            if (mAdmission.isRefused()) {
                count(false);
            } else {
                send();
            }
        }

        void send() {
            List<Engine> running = mEngines.stream().filter(mEntry::uses).toList();
            if (running.isEmpty()
                    || mAttempts == (mAdmission.isProbe() ? 1 : MAX_ATTEMPTS)
                    || (!mAdmission.isProbe() && mEntry.mQuarantine.recheck(mTraits).isRefused())) {
                count(false);
                return;
            }
            mAttempts++;
            mBadPart.ifPresent(
                    part ->
                            mSentByBadPart
                                    .computeIfAbsent(part, key -> new ArrayList<>())
                                    .add(mTimeline.now()));
            Engine engine = running.get(mRandom.nextInt(running.size()));
            Attempt attempt = new Attempt(this, mEntry, engine.info());
            engine.start(attempt);
            if (mIsCrashSilent || mHangingShare > 0) {
                after(SILENCE, attempt::onSilent);
                after(mAttempts < MAX_ATTEMPTS ? SILENCE_TO_REPLACE : DEADLINE, attempt::end);
            }
        }

        /** Counts a sound request once, when it is known whether its first attempt begins. */
        void count(boolean hasBegunAtFirst) {
            if (mBadPart.isEmpty() && !mIsCounted) {
                mIsCounted = true;
                mSoundRequests.add(new SoundRequest(mArrivedAt, hasBegunAtFirst));
            }
        }
    }

    private final class Attempt {
        private final Request mRequest;
        private final Entry mEntry;
        private final EndpointInfo mEngine;
        private final Duration mSentAt = mTimeline.now();
        private Duration mBegunAt = Duration.ZERO;
        private boolean mHasBegun;
        private boolean mIsAnswered;
        private boolean mIsLost;

        Attempt(Request request, Entry entry, EndpointInfo engine) {
            mRequest = request;
            mEntry = entry;
            mEngine = engine;
        }

        void onSilent() {
            if (!mIsAnswered && !mIsLost) {
                mEntry.mSilent.add(mEngine);
                mEntry.mQuarantine
                        .unanswered()
                        .add(this, mEngine, mRequest.mTraits, Optional.empty(), mSentAt);
            }
        }

        /** The entry ends an attempt without an answer, and sends the request again. */
        void end() {
            if (!mIsAnswered && !mIsLost) {
                mEntry.mQuarantine.unanswered().end(this, mEngine);
                mRequest.send();
            }
        }

        void answer() {
            mIsAnswered = true;
            mEntry.mSilent.remove(mEngine);
            mEntry.mQuarantine.unanswered().onAnswered(this, mEngine, mBegunAt);
            mEntry.mQuarantine.onAnswered(mRequest.mTraits, mBegunAt);
        }
    }

    private final class Engine {
        private final String mName;
        private final Set<Attempt> mAttempts = new LinkedHashSet<>();
        private boolean mIsUp = true;
        private boolean mIsReported = true;
        private long mIncarnation = 1;

        Engine(String name) {
            mName = name;
        }

        void start(Attempt attempt) {
            if (!mIsUp || mRandom.nextDouble() < mHangingShare) {
                return;
            }
            mAttempts.add(attempt);
            after(between(40, 200), () -> begin(attempt));
        }

        private void begin(Attempt attempt) {
            if (!mAttempts.contains(attempt)) {
                return;
            }
            attempt.mHasBegun = true;
            attempt.mBegunAt = mTimeline.now();
            Optional<String> badPart = attempt.mRequest.mBadPart;
            if (badPart.isPresent()) {
                after(
                        between(10, 110),
                        () -> {
                            if (mAttempts.contains(attempt)) {
                                mCrashesByBadPart
                                        .computeIfAbsent(badPart.get(), key -> new ArrayList<>())
                                        .add(mTimeline.now());
                                crash();
                            }
                        });
                return;
            }
            attempt.mRequest.count(attempt.mRequest.mAttempts == 1);
            after(between(100, 160), () -> answer(attempt));
            after(between(500, 2_000), () -> mAttempts.remove(attempt));
        }

        private void answer(Attempt attempt) {
            if (mAttempts.contains(attempt)) {
                attempt.answer();
            }
        }

        void crash() {
            if (!mIsUp) {
                return;
            }
            mDeaths.add(mTimeline.now());
            mIsUp = false;
            if (mIsCrashSilent) {
                mAttempts.clear();
                long crashed = mIncarnation;
                after(between(LEASE_MILLIS - HEARTBEAT_MILLIS, LEASE_MILLIS), () -> drop(crashed));
            } else {
                lose(attempt -> true);
            }
            after(
                    between(1_500, 4_000),
                    () -> {
                        mIncarnation++;
                        mIsUp = true;
                        mIsReported = true;
                        publish();
                    });
        }

        private void drop(long incarnation) {
            if (mIncarnation == incarnation) {
                mIsReported = false;
                publish();
            }
        }

        private EndpointInfo info() {
            return SimulatedMembers.engine(mName, mIncarnation);
        }

        void lose(Predicate<Attempt> predicate) {
            EndpointInfo info = info();
            for (Attempt attempt : List.copyOf(mAttempts)) {
                if (predicate.test(attempt)) {
                    mAttempts.remove(attempt);
                    attempt.mIsLost = true;
                    after(between(1, 6), () -> report(attempt, info));
                }
            }
        }

        private void report(Attempt attempt, EndpointInfo info) {
            if (!attempt.mIsAnswered) {
                attempt.mEntry.mQuarantine.onLost(
                        info, attempt.mRequest.mTraits, 0, attempt.mSentAt, attempt.mHasBegun);
                if (attempt.mRequest.mAdmission.isProbe()) {
                    attempt.mEntry.mQuarantine.onProbeFailed(attempt.mRequest.mAdmission.trait());
                }
            }
            attempt.mRequest.send();
        }
    }
}
