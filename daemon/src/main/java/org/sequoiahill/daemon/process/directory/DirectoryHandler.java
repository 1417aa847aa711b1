package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.daemon.process.config.ConfigurationSync;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.protocol.gen.AnnounceReply;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.DataCentreSummary;
import org.sequoiahill.protocol.gen.Directory;
import org.sequoiahill.protocol.gen.Peer;
import org.sequoiahill.protocol.gen.ServiceSummary;
import org.tinylog.Logger;

/** Takes announcements and exchanges summaries with entries of other data centres. */
public final class DirectoryHandler implements Directory.Iface {
    private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_AGENTS_TOLD = 3;

    private final DaemonSettings mSettings;
    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ConfigurationSync mSync;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mTable;
    private final ControlClient mClient;
    private volatile boolean mIsDraining;

    private DirectoryHandler(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            EndpointDirectory directory,
            DataCentreTable table,
            ControlClient client) {
        mSettings = settings;
        mIdentity = identity;
        mView = view;
        mSync = sync;
        mDirectory = directory;
        mTable = table;
        mClient = client;
    }

    /** Returns a handler on an entry. */
    public static DirectoryHandler of(
            DaemonSettings settings,
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            EndpointDirectory directory,
            DataCentreTable table,
            ControlClient client) {
        return new DirectoryHandler(settings, identity, view, sync, directory, table, client);
    }

    /** Starts to exchange summaries. */
    public void start(ScheduledExecutorService scheduler) {
        Periodic.every(scheduler, EXCHANGE_INTERVAL, "exchange", this::exchangeWithOthers);
    }

    /** Tells other data centres to send nothing more here. */
    public void drain() {
        mIsDraining = true;
        exchangeWithOthers();
    }

    @Override
    public AnnounceReply announce(Announcement announcement) {
        mSync.heardOf(announcement.getSender());
        mDirectory.announce(announcement);
        List<Peer> peers = new ArrayList<>();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement held = endpoint.announcement();
            if (held.getServiceName().equals(announcement.getServiceName()) && !held.isLeaving()) {
                peers.add(
                        new Peer(
                                endpoint.vm(),
                                held.getSender().getDataCentre(),
                                held.getDataAddress(),
                                held.isServing()));
            }
        }
        return new AnnounceReply(
                mIdentity.sender(),
                EndpointDirectory.LEASE.toMillis(),
                peers,
                mTable.agentsOf(announcement.getServiceName()));
    }

    @Override
    public DataCentreSummary exchange(DataCentreSummary summary) {
        mSync.heardOf(summary.getSender());
        mTable.offer(summary);
        return summary();
    }

    /** Returns the summary of this data centre. */
    public DataCentreSummary summary() {
        boolean isOut = mIsDraining || mView.current().isOut(mIdentity.dataCentre());
        return new DataCentreSummary(
                mIdentity.sender(), mSettings.data().toString(), summarise(), isOut);
    }

    private List<ServiceSummary> summarise() {
        Map<VersionKey, ServiceSummary> byVersion = new HashMap<>();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement held = endpoint.announcement();
            if (!held.isServing() || held.isLeaving()) {
                continue;
            }
            VersionKey key = new VersionKey(held.getServiceName(), held.getVersionDigest());
            ServiceSummary summary =
                    byVersion.computeIfAbsent(
                            key,
                            k ->
                                    new ServiceSummary(k.service(), k.digest(), 0, 0, 0)
                                            .setAgents(new ArrayList<>()));
            if (summary.getAgents().size() < MAX_AGENTS_TOLD) {
                summary.addToAgents(
                        new Peer(
                                endpoint.vm(),
                                held.getSender().getDataCentre(),
                                held.getDataAddress(),
                                true));
            }
            summary.setEndpoints(summary.getEndpoints() + 1);
            summary.setCapacity(summary.getCapacity() + held.getCapacity());
            summary.setRunning(summary.getRunning() + held.getRunning());
            ServiceProgress.add(summary, held);
        }
        return List.copyOf(byVersion.values());
    }

    private void exchangeWithOthers() {
        DataCentreSummary own = summary();
        for (PeerVm entry : mSettings.entries()) {
            if (entry.dataCentre().equals(mSettings.dataCentre())) {
                continue;
            }
            mClient.call(entry.control(), ServiceStub.DIRECTORY, client -> client.exchange(own))
                    .whenComplete(
                            (summary, failure) -> {
                                if (failure != null) {
                                    Logger.debug("entry {} failed: {}", entry.vm(), failure);
                                } else {
                                    mTable.offer(summary);
                                }
                            });
        }
    }

    private record VersionKey(String service, String digest) {}
}
