package org.sequoiahill.daemon.process.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.AnnounceReply;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.DataCentreSummary;
import org.sequoiahill.protocol.gen.Directory;
import org.sequoiahill.protocol.gen.Peer;
import org.sequoiahill.protocol.gen.RenewRequest;
import org.sequoiahill.protocol.gen.Renewal;
import org.sequoiahill.protocol.gen.ServiceSummary;
import org.sequoiahill.protocol.gen.Spread;
import org.sequoiahill.protocol.gen.SpreadReply;

/** Accepts announcements, propagates them within the data centre, and exchanges summaries. */
public final class DirectoryHandler implements Directory.Iface {
    private static final int MAX_AGENTS_PER_SUMMARY = 3;
    private static final int DIGEST_PREFIX_LENGTH = 16;

    private final DaemonSettings mSettings;
    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ConfigurationSync mSync;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mTable;
    private final AnnouncementPropagator mPropagator;
    private final SummaryExchange mExchange;
    private final int mLocalEntryCount;
    private volatile boolean mIsDraining;

    private DirectoryHandler(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            EndpointDirectory directory,
            DataCentreTable table,
            ControlClient client,
            MonotonicClock clock) {
        mSettings = settings;
        mIdentity = identity;
        mView = view;
        mSync = sync;
        mDirectory = directory;
        mTable = table;
        List<PeerVm> remoteEntries = new ArrayList<>();
        List<PeerVm> peers = new ArrayList<>();
        for (PeerVm entry : settings.entries()) {
            if (!entry.dataCentre().equals(settings.dataCentre())) {
                remoteEntries.add(entry);
            } else if (!entry.vm().equals(settings.vm())) {
                peers.add(entry);
            }
        }
        mLocalEntryCount = peers.size() + 1;
        mPropagator = new AnnouncementPropagator(identity, directory, client, clock, peers);
        mExchange =
                new SummaryExchange(
                        settings.dataCentre(), remoteEntries, client, clock, table, this::summary);
    }

    /** Returns the handler of an entry. */
    public static DirectoryHandler of(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            EndpointDirectory directory,
            DataCentreTable table,
            ControlClient client,
            MonotonicClock clock) {
        return new DirectoryHandler(
                settings, identity, view, sync, directory, table, client, clock);
    }

    /** Starts the propagation and the exchange of summaries. */
    public void start(ScheduledExecutorService scheduler) {
        mPropagator.start(scheduler);
        mExchange.start(scheduler);
    }

    /** Notifies other data centres that this entry accepts no more requests. */
    public void drain() {
        mIsDraining = true;
        mExchange.sendToAll();
    }

    @Override
    public AnnounceReply announce(Announcement announcement) {
        mSync.onSenderRevision(announcement.getSender());
        mDirectory.announce(announcement);
        mDirectory.updateIntervals(mLocalEntryCount);
        if (announcement.isSpread() || announcement.isLeaving() || !announcement.isServing()) {
            mPropagator.add(announcement);
        }
        return reply(announcement.getServiceName(), announcement.getPeersHash());
    }

    @Override
    public AnnounceReply renew(RenewRequest request) {
        mSync.onSenderRevision(request.getSender());
        Renewal renewal = request.getRenewal();
        if (!mDirectory.renew(renewal)) {
            return emptyReply().setUnknownAnnouncement(true);
        }
        if (request.isSpread()) {
            mPropagator.add(renewal);
        }
        String service = mDirectory.serviceOf(renewal.getVm()).orElse("");
        return reply(service, request.getPeersHash());
    }

    @Override
    public SpreadReply spread(Spread spread) {
        mSync.onSenderRevision(spread.getSender());
        spread.getAnnouncements().forEach(mDirectory::announce);
        List<String> missing = new ArrayList<>();
        for (Renewal renewal : spread.getRenewals()) {
            if (!mDirectory.renew(renewal)) {
                missing.add(renewal.getVm());
            }
        }
        mDirectory.updateIntervals(mLocalEntryCount);
        return new SpreadReply(mIdentity.sender(), missing);
    }

    @Override
    public DataCentreSummary exchange(DataCentreSummary summary) {
        mSync.onSenderRevision(summary.getSender());
        mTable.update(summary, mExchange.lease(summary));
        return summary();
    }

    /**
     * Returns the summary of this data centre; it is marked as draining while this entry drains or
     * the data centre is out of service.
     */
    public DataCentreSummary summary() {
        boolean isDraining = mIsDraining || mView.current().isOutOfService(mIdentity.dataCentre());
        return new DataCentreSummary(
                mIdentity.sender(), mSettings.data().toString(), serviceSummaries(), isDraining);
    }

    private AnnounceReply reply(String service, long knownHash) {
        List<Peer> peers = peersOf(service);
        List<Peer> remotePeers = mTable.agentsOf(service);
        long hash = List.of(peers, remotePeers).hashCode();
        AnnounceReply reply = emptyReply().setPeersHash(hash);
        return hash == knownHash
                ? reply.setPeersSame(true)
                : reply.setPeers(peers).setElsewhere(remotePeers);
    }

    private AnnounceReply emptyReply() {
        return new AnnounceReply(
                mIdentity.sender(),
                mDirectory.intervals().lease().toMillis(),
                List.of(),
                List.of(),
                false,
                0,
                false);
    }

    private List<Peer> peersOf(String service) {
        List<Peer> peers = new ArrayList<>();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement held = endpoint.announcement();
            if (held.getServiceName().equals(service) && !held.isLeaving()) {
                peers.add(
                        new Peer(
                                endpoint.vm(),
                                held.getSender().getDataCentre(),
                                held.getDataAddress(),
                                held.isServing()));
            }
        }
        peers.sort(Comparator.comparing(Peer::getVm));
        return peers;
    }

    private List<ServiceSummary> serviceSummaries() {
        Map<VersionKey, ServiceSummary> byVersion = new HashMap<>();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement held = endpoint.announcement();
            if (!held.isServing() || held.isLeaving()) {
                continue;
            }
            String digest = held.getVersionDigest();
            VersionKey key =
                    new VersionKey(
                            held.getServiceName(),
                            digest.substring(0, Math.min(DIGEST_PREFIX_LENGTH, digest.length())));
            ServiceSummary summary =
                    byVersion.computeIfAbsent(
                            key,
                            k ->
                                    new ServiceSummary(k.service(), k.digest(), 0, 0, 0)
                                            .setAgents(new ArrayList<>()));
            if (summary.getAgents().size() < MAX_AGENTS_PER_SUMMARY) {
                summary.addToAgents(
                        new Peer(
                                endpoint.vm(),
                                held.getSender().getDataCentre(),
                                held.getDataAddress(),
                                true));
            }
            summary.setEndpoints(summary.getEndpoints() + 1);
            summary.setCapacity(summary.getCapacity() + endpoint.load().limit());
            summary.setRunning(summary.getRunning() + endpoint.load().running());
            ServiceProgress.add(summary, held);
        }
        return List.copyOf(byVersion.values());
    }

    private record VersionKey(String service, String digest) {}
}
