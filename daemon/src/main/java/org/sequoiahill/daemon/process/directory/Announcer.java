package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.protocol.gen.AnnounceReply;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Directory;
import org.sequoiahill.protocol.gen.Peer;
import org.sequoiahill.protocol.gen.RenewRequest;
import org.sequoiahill.protocol.gen.Renewal;
import org.tinylog.Logger;

/** Announces this agent's endpoint to entries of its data centre. */
public final class Announcer {
    /** Interval at which due messages are checked for. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private final Identity mIdentity;
    private final Map<String, PeerVm> mEntries;
    private final ControlClient mClient;
    private final ConfigurationSync mSync;
    private final MonotonicClock mClock;
    private final Supplier<Announcement> mAnnouncement;
    private final Map<String, Peer> mPeers = new ConcurrentHashMap<>();
    private volatile List<Peer> mRemotePeers = List.of();
    private final Object mLock = new Object();
    private final AnnounceSchedule mSchedule;
    private volatile long mPeersHash;

    private Announcer(
            Identity identity,
            List<PeerVm> entries,
            ControlClient client,
            ConfigurationSync sync,
            MonotonicClock clock,
            Supplier<Announcement> announcement) {
        mIdentity = identity;
        mEntries = entries.stream().collect(Collectors.toMap(PeerVm::vm, entry -> entry));
        mClient = client;
        mSync = sync;
        mClock = clock;
        mAnnouncement = announcement;
        mSchedule = new AnnounceSchedule(identity.vm(), entries.stream().map(PeerVm::vm).toList());
    }

    /** Returns an announcer that obtains each announcement from a supplier. */
    public static Announcer of(
            Identity identity,
            List<PeerVm> entries,
            ControlClient client,
            ConfigurationSync sync,
            MonotonicClock clock,
            Supplier<Announcement> announcement) {
        return new Announcer(identity, entries, client, sync, clock, announcement);
    }

    /** Starts to announce changes and to renew leases. */
    public void start(ScheduledExecutorService scheduler) {
        PeriodicTasks.schedule(scheduler, CHECK_INTERVAL, "announce", this::announce);
    }

    /** Sends the messages that are due; completes once each of them has succeeded or failed. */
    public CompletableFuture<Void> announce() {
        Announcement announcement = mAnnouncement.get();
        List<AnnounceSchedule.Message> messages;
        synchronized (mLock) {
            messages = mSchedule.due(announcement, mClock.now());
        }
        return CompletableFuture.allOf(
                messages.stream()
                        .map(message -> send(message, announcement))
                        .toArray(CompletableFuture[]::new));
    }

    /**
     * Returns the agents of the same service in this data centre, as an entry last listed them; the
     * list includes this agent.
     */
    public List<Peer> peers() {
        return List.copyOf(mPeers.values());
    }

    /** Returns a few agents of the same service in other data centres. */
    public List<Peer> remotePeers() {
        return mRemotePeers;
    }

    private CompletableFuture<Void> send(
            AnnounceSchedule.Message message, Announcement announcement) {
        ControlClient.ThriftCall<Directory.Client, AnnounceReply> call =
                message.kind() == AnnounceSchedule.Kind.ANNOUNCE
                        ? client -> client.announce(announcementOf(message, announcement))
                        : client -> client.renew(renewalOf(message, announcement));
        PeerVm entry = mEntries.get(message.entry());
        if (entry == null) {
            throw new IllegalStateException("unknown entry " + message.entry());
        }
        return mClient.call(entry.control(), ServiceStub.DIRECTORY, call)
                .handle(
                        (reply, failure) -> {
                            if (failure == null) {
                                handleReply(message, reply);
                            } else {
                                Logger.debug(
                                        "announcing to entry {} failed: {}",
                                        message.entry(),
                                        failure);
                                synchronized (mLock) {
                                    mSchedule.onFailure(message.entry(), mClock.now());
                                }
                            }
                            return null;
                        });
    }

    private Announcement announcementOf(
            AnnounceSchedule.Message message, Announcement announcement) {
        return new Announcement(announcement)
                .setSequence(message.announced())
                .setPeersHash(mPeersHash)
                .setSpread(message.shouldPropagate());
    }

    private RenewRequest renewalOf(AnnounceSchedule.Message message, Announcement announcement) {
        Renewal renewal =
                new Renewal(
                        mIdentity.vm(),
                        mIdentity.incarnation(),
                        message.announced(),
                        message.sequence(),
                        announcement.getRunning(),
                        announcement.getLimit());
        return new RenewRequest(mIdentity.sender(), renewal, mPeersHash, message.shouldPropagate());
    }

    private void handleReply(AnnounceSchedule.Message message, AnnounceReply reply) {
        mSync.onSenderRevision(reply.getSender());
        synchronized (mLock) {
            if (reply.isUnknownAnnouncement()) {
                mSchedule.onUnknownAnnouncement(message.entry());
            } else {
                mSchedule.onAcknowledged(
                        message.entry(),
                        message.announced(),
                        Duration.ofMillis(reply.getLeaseMillis()));
            }
        }
        if (!reply.isPeersSame() && !reply.isUnknownAnnouncement()) {
            mPeers.keySet().retainAll(reply.getPeers().stream().map(Peer::getVm).toList());
            reply.getPeers().forEach(peer -> mPeers.put(peer.getVm(), peer));
            mRemotePeers = List.copyOf(reply.getElsewhere());
            mPeersHash = reply.getPeersHash();
        }
    }
}
