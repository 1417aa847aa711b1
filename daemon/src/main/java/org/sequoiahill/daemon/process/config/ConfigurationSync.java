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
 * Keeps the configuration of this process up to date.
 *
 * <p>A message from a process with a newer revision triggers a pull at once; a slow periodic pull
 * with jitter finds revisions that no message has announced.
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

    /** Returns a synchroniser that follows a plan once it is started. */
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

    /**
     * Starts the periodic pull, and the notification of the plan's peers of newer revisions; peers
     * beyond the first 64 are not notified.
     */
    public void start() {
        mView.onChange(snapshot -> mScheduler.execute(this::notifyPeers));
        pullAndSchedule();
    }

    /**
     * Records the revision of a message's sender; pulls at once if it is newer, unless a pull is
     * about to start already.
     */
    public void onSenderRevision(Sender sender) {
        long currentRevision = mView.current().revision();
        boolean isNewer = sender.getConfigRevision() > currentRevision;
        synchronized (mPicker) {
            mPicker.onRevision(sender.getVm(), sender.getConfigRevision(), currentRevision);
            isNewer &= !mIsPullScheduled;
            mIsPullScheduled |= isNewer;
        }
        if (isNewer) {
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

    /** Fetches the changes since the current revision from the next source. */
    private void pull() {
        long currentRevision = mView.current().revision();
        Optional<String> picked;
        synchronized (mPicker) {
            mIsPullScheduled = false;
            picked = mPicker.pick(mClock.now(), currentRevision);
        }
        picked.ifPresent(source -> fetch(source, currentRevision));
    }

    /**
     * Fetches the changes from a source; applies its response even if the picker has already
     * counted the source as failed.
     */
    private void fetch(String source, long currentRevision) {
        ConfigurationFetch request = new ConfigurationFetch(mIdentity.sender(), currentRevision);
        mClient.call(addressOf(source), ServiceStub.CONFIGURATION, client -> client.fetch(request))
                .whenComplete((delta, failure) -> onDelta(source, delta, failure));
    }

    private void onDelta(
            String source, @Nullable ConfigurationDelta delta, @Nullable Throwable failure) {
        if (failure != null || delta == null) {
            Logger.debug("fetching the configuration from {} failed: {}", source, failure);
            onFailure(source);
            return;
        }
        DeltaRule.Verdict verdict = mView.apply(delta, true);
        if (verdict == DeltaRule.Verdict.FAULTY || verdict == DeltaRule.Verdict.GAP) {
            Logger.warn("ignoring a configuration delta from {}: {}", source, verdict);
            onFailure(source);
            return;
        }
        synchronized (mPicker) {
            mPicker.onResponse(source, delta.getToRevision());
        }
        if (verdict == DeltaRule.Verdict.TAKEN) {
            Logger.info("configuration revision {} is in force", delta.getToRevision());
        }
    }

    private void onFailure(String source) {
        boolean mustPull;
        synchronized (mPicker) {
            mPicker.onFailure(source, mClock.now());
            mustPull = mPicker.hasSourceAhead(mClock.now(), mView.current().revision());
        }
        if (mustPull) {
            mScheduler.execute(this::pull);
        }
    }

    /** Notifies the peers of the current revision; pulls if a response shows a newer one. */
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
