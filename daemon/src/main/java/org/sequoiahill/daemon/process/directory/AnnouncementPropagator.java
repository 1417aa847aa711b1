package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Renewal;
import org.sequoiahill.protocol.gen.Spread;
import org.sequoiahill.protocol.gen.SpreadReply;
import org.tinylog.Logger;

/** Propagates what agents announce to this entry to the other entries of the data centre. */
final class AnnouncementPropagator {
    /** Longest delay until a change is sent. */
    private static final Duration FLUSH_INTERVAL = Duration.ofMillis(100);

    private final Identity mIdentity;
    private final EndpointDirectory mDirectory;
    private final ControlClient mClient;
    private final MonotonicClock mClock;
    private final List<PeerVm> mPeers;
    private final Object mLock = new Object();
    private final Map<String, Announcement> mAnnouncements = new HashMap<>();
    private final Map<String, Renewal> mRenewals = new HashMap<>();
    private Duration mNextRenewalsAt = Duration.ZERO;

    AnnouncementPropagator(
            Identity identity,
            EndpointDirectory directory,
            ControlClient client,
            MonotonicClock clock,
            List<PeerVm> peers) {
        mIdentity = identity;
        mDirectory = directory;
        mClient = client;
        mClock = clock;
        mPeers = peers;
    }

    void start(ScheduledExecutorService scheduler) {
        PeriodicTasks.schedule(scheduler, FLUSH_INTERVAL, "spread", this::flush);
    }

    /** Queues an announcement; it replaces an earlier one of the same agent. */
    void add(Announcement announcement) {
        synchronized (mLock) {
            String vm = announcement.getSender().getVm();
            mAnnouncements.put(vm, announcement);
            mRenewals.remove(vm);
        }
    }

    /**
     * Queues a renewal; it replaces an earlier one of the same agent and is ignored while an
     * announcement of the agent is queued.
     */
    void add(Renewal renewal) {
        synchronized (mLock) {
            if (!mAnnouncements.containsKey(renewal.getVm())) {
                mRenewals.put(renewal.getVm(), renewal);
            }
        }
    }

    private void flush() {
        List<Announcement> announcements;
        List<Renewal> renewals;
        synchronized (mLock) {
            boolean areRenewalsDue = mClock.now().compareTo(mNextRenewalsAt) >= 0;
            if (mAnnouncements.isEmpty() && (!areRenewalsDue || mRenewals.isEmpty())) {
                return;
            }
            announcements = List.copyOf(mAnnouncements.values());
            renewals = List.copyOf(mRenewals.values());
            mAnnouncements.clear();
            mRenewals.clear();
            mNextRenewalsAt = mClock.now().plus(mDirectory.intervals().renewal());
        }
        mPeers.forEach(peer -> send(peer, announcements, renewals));
    }

    private void send(PeerVm peer, List<Announcement> announcements, List<Renewal> renewals) {
        Spread spread = new Spread(mIdentity.sender(), announcements, renewals);
        mClient.call(peer.control(), ServiceStub.DIRECTORY, client -> client.spread(spread))
                .whenComplete(
                        (reply, failure) -> {
                            if (failure != null) {
                                Logger.debug(
                                        "can't propagate announcements to entry {}: {}",
                                        peer.vm(),
                                        failure);
                            } else {
                                sendMissing(peer, reply);
                            }
                        });
    }

    /** Sends the announcements that a peer reports as missing. */
    private void sendMissing(PeerVm peer, SpreadReply reply) {
        if (reply.getMissing().isEmpty()) {
            return;
        }
        List<Announcement> missing = new ArrayList<>();
        for (Endpoint endpoint : mDirectory.all()) {
            if (reply.getMissing().contains(endpoint.vm())) {
                missing.add(endpoint.announcement());
            }
        }
        Spread spread = new Spread(mIdentity.sender(), missing, List.of());
        mClient.call(peer.control(), ServiceStub.DIRECTORY, client -> client.spread(spread));
    }
}
