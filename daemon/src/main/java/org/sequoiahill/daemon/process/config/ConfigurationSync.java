package org.sequoiahill.daemon.process.config;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.ConfigurationFetch;
import org.sequoiahill.protocol.gen.Sender;
import org.tinylog.Logger;

/**
 * Keeps the configuration of this process near the newest one.
 *
 * <p>A message from a process that is ahead makes it ask at once; a slow pull with jitter finds
 * what no message has told.
 */
public final class ConfigurationSync {
    private static final int MAX_NOTIFIED_PEERS = 64;

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ControlClient mClient;
    private final Map<String, HostPort> mSources;
    private final List<PeerVm> mNotifiedPeers;
    private final ScheduledExecutorService mScheduler;
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final SourcePicker mPicker;
    private final Duration mPullInterval;
    private boolean mIsPullScheduled;

    private ConfigurationSync(
            Identity identity,
            ConfigurationView view,
            ControlClient client,
            PropagationPlan plan,
            ScheduledExecutorService scheduler,
            MonotonicClock clock,
            RandomGenerator random) {
        mIdentity = identity;
        mView = view;
        mClient = client;
        mSources =
                plan.sources().stream()
                        .collect(Collectors.toMap(PeerVm::vm, PeerVm::control, (a, b) -> a));
        mNotifiedPeers = plan.notifiedPeers().stream().limit(MAX_NOTIFIED_PEERS).toList();
        mScheduler = scheduler;
        mClock = clock;
        mRandom = random;
        mPicker = SourcePicker.over(plan.sources().stream().map(PeerVm::vm).toList(), random);
        mPullInterval = plan.pullInterval();
    }

    /** Returns a synchroniser that follows the plan once it is started. */
    public static ConfigurationSync of(
            Identity identity,
            ConfigurationView view,
            ControlClient client,
            PropagationPlan plan,
            ScheduledExecutorService scheduler,
            MonotonicClock clock,
            RandomGenerator random) {
        return new ConfigurationSync(identity, view, client, plan, scheduler, clock, random);
    }

    /** Starts the slow pull, and to tell the plan's peers of each newer revision. */
    public void start() {
        mView.onChange(snapshot -> mScheduler.execute(this::notifyPeers));
        pullAndSchedule();
    }

    /** Notes a message; where its sender is ahead, a source is asked at once. */
    public void onSenderRevision(Sender sender) {
        long held = mView.current().revision();
        boolean isNews = sender.getConfigRevision() > held;
        synchronized (mPicker) {
            mPicker.onRevision(sender.getVm(), sender.getConfigRevision(), held);
            isNews &= !mIsPullScheduled;
            mIsPullScheduled |= isNews;
        }
        if (isNews) {
            mScheduler.execute(this::pull);
        }
    }

    private void pullAndSchedule() {
        try {
            pull();
        } finally {
            long millis = (long) (mPullInterval.toMillis() * mRandom.nextDouble(0.5, 1.0));
            mScheduler.schedule(this::pullAndSchedule, millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Asks the next source for what changed. */
    private void pull() {
        long held = mView.current().revision();
        Optional<String> picked;
        synchronized (mPicker) {
            mIsPullScheduled = false;
            picked = mPicker.pick(mClock.now(), held);
        }
        picked.ifPresent(source -> fetch(source, held));
    }

    /** An answer that comes after the picker has given the source up is still taken in. */
    private void fetch(String source, long held) {
        ConfigurationFetch request = new ConfigurationFetch(mIdentity.sender(), held);
        mClient.call(addressOf(source), ServiceStub.CONFIGURATION, client -> client.fetch(request))
                .whenComplete((delta, failure) -> onDelta(source, delta, failure));
    }

    private void onDelta(
            String source, @Nullable ConfigurationDelta delta, @Nullable Throwable failure) {
        if (failure != null || delta == null) {
            Logger.debug("configuration source {} failed: {}", source, failure);
            onFailure(source);
            return;
        }
        DeltaRule.Verdict verdict = mView.apply(delta, true);
        if (verdict == DeltaRule.Verdict.FAULTY || verdict == DeltaRule.Verdict.GAP) {
            Logger.warn("configuration source {} sent a delta that is {}", source, verdict);
            onFailure(source);
            return;
        }
        synchronized (mPicker) {
            mPicker.onResponse(source, delta.getToRevision());
        }
        if (verdict == DeltaRule.Verdict.TAKEN) {
            Logger.info("configuration revision {} in force", delta.getToRevision());
        }
    }

    private void onFailure(String source) {
        boolean isBehind;
        synchronized (mPicker) {
            mPicker.onFailure(source, mClock.now());
            isBehind = mPicker.hasSourceAhead(mClock.now(), mView.current().revision());
        }
        if (isBehind) {
            mScheduler.execute(this::pull);
        }
    }

    /** Tells the peers of the revision held; one whose answer is ahead is asked in turn. */
    private void notifyPeers() {
        for (PeerVm peer : mNotifiedPeers) {
            mClient.call(
                            peer.control(),
                            ServiceStub.CONFIGURATION,
                            client -> client.notify(mIdentity.sender()))
                    .thenAccept(this::onSenderRevision);
        }
    }

    private HostPort addressOf(String source) {
        return Optional.ofNullable(mSources.get(source)).orElseThrow();
    }
}
