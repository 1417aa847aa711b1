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
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Renewal;
import org.sequoiahill.protocol.gen.Spread;
import org.sequoiahill.protocol.gen.SpreadReply;
import org.tinylog.Logger;

/** Tells the other entries of the data centre what agents have told this one. */
final class AnnouncementPropagator {
    /** Longest time until a change is told. */
    private static final Duration TICK = Duration.ofMillis(100);

    private final Identity mIdentity;
    private final EndpointDirectory mDirectory;
    private final ControlClient mClient;
    private final MonotonicClock mClock;
    private final List<PeerVm> mPeers;
    private final Object mLock = new Object();
    private final Map<String, Announcement> mAnnouncements = new HashMap<>();
    private final Map<String, Renewal> mRenewals = new HashMap<>();
    private Duration mNextRenewals = Duration.ZERO;

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
        Periodic.every(scheduler, TICK, "spread", this::flush);
    }

    /** Notes an announcement; it replaces an earlier one of the same agent. */
    void add(Announcement announcement) {
        synchronized (mLock) {
            String vm = announcement.getSender().getVm();
            mAnnouncements.put(vm, announcement);
            mRenewals.remove(vm);
        }
    }

    /** Notes a renewal; it replaces an earlier one of the same agent. */
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
            boolean isTime = mClock.now().compareTo(mNextRenewals) >= 0;
            if (mAnnouncements.isEmpty() && (!isTime || mRenewals.isEmpty())) {
                return;
            }
            announcements = List.copyOf(mAnnouncements.values());
            renewals = List.copyOf(mRenewals.values());
            mAnnouncements.clear();
            mRenewals.clear();
            mNextRenewals = mClock.now().plus(mDirectory.intervals().renewal());
        }
        mPeers.forEach(peer -> tell(peer, announcements, renewals));
    }

    private void tell(PeerVm peer, List<Announcement> announcements, List<Renewal> renewals) {
        Spread spread = new Spread(mIdentity.sender(), announcements, renewals);
        mClient.call(peer.control(), ServiceStub.DIRECTORY, client -> client.spread(spread))
                .whenComplete(
                        (reply, failure) -> {
                            if (failure != null) {
                                Logger.debug("entry {} failed: {}", peer.vm(), failure);
                            } else {
                                complete(peer, reply);
                            }
                        });
    }

    /** Sends the whole announcements that a peer misses. */
    private void complete(PeerVm peer, SpreadReply reply) {
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
