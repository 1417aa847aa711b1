package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.protocol.gen.AnnounceReply;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Peer;
import org.tinylog.Logger;

/** Announces the endpoint of this agent to the entries of its data centre. */
public final class Announcer {
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final List<PeerVm> mEntries;
    private final ControlClient mClient;
    private final ConfigurationSync mSync;
    private final Supplier<Announcement> mAnnouncement;
    private final Map<String, Peer> mPeers = new ConcurrentHashMap<>();
    private volatile List<Peer> mElsewhere = List.of();

    private Announcer(
            List<PeerVm> entries,
            ControlClient client,
            ConfigurationSync sync,
            Supplier<Announcement> announcement) {
        mEntries = entries;
        mClient = client;
        mSync = sync;
        mAnnouncement = announcement;
    }

    /** Returns an announcer that asks the supplier for each announcement. */
    public static Announcer of(
            List<PeerVm> entries,
            ControlClient client,
            ConfigurationSync sync,
            Supplier<Announcement> announcement) {
        return new Announcer(entries, client, sync, announcement);
    }

    /** Starts to announce every interval. */
    public void start(ScheduledExecutorService scheduler) {
        Periodic.every(scheduler, INTERVAL, "announce", this::announce);
    }

    /** Announces now; completes once every entry has answered or failed. */
    public CompletableFuture<Void> announce() {
        Announcement announcement = mAnnouncement.get();
        return CompletableFuture.allOf(
                mEntries.stream()
                        .map(entry -> announceTo(entry, announcement))
                        .toArray(CompletableFuture[]::new));
    }

    /** Returns the agents of the same service in this data centre. */
    public List<Peer> peers() {
        return List.copyOf(mPeers.values());
    }

    /** Returns a few agents of the same service in other data centres. */
    public List<Peer> elsewhere() {
        return mElsewhere;
    }

    private CompletableFuture<Void> announceTo(PeerVm entry, Announcement announcement) {
        return mClient.call(
                        entry.control(),
                        ServiceStub.DIRECTORY,
                        client -> client.announce(announcement))
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                Logger.debug("entry {} failed: {}", entry.vm(), failure);
                            } else {
                                take(reply);
                            }
                            return null;
                        });
    }

    private void take(AnnounceReply reply) {
        mSync.heardOf(reply.getSender());
        mPeers.keySet().retainAll(reply.getPeers().stream().map(Peer::getVm).toList());
        reply.getPeers().forEach(peer -> mPeers.put(peer.getVm(), peer));
        mElsewhere = reply.isSetElsewhere() ? List.copyOf(reply.getElsewhere()) : List.of();
    }
}
