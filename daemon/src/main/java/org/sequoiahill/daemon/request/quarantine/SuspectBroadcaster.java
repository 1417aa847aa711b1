package org.sequoiahill.daemon.request.quarantine;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.quarantine.SuspectTable.Suspect;
import org.sequoiahill.protocol.gen.SuspectList;
import org.sequoiahill.protocol.gen.SuspectRequest;
import org.sequoiahill.protocol.gen.Suspects;
import org.tinylog.Logger;

/** Exchanges suspects with the other entries of all data centres. */
public final class SuspectBroadcaster implements Suspects.Iface {
    private static final int MAX_SUSPECTS = 1_000;
    private static final int FINGERPRINT_BYTES = 32;

    private final Identity mIdentity;
    private final SuspectTable mTable;
    private final ControlClient mClient;
    private final List<HostPort> mPeers;

    private SuspectBroadcaster(
            Identity identity, SuspectTable table, ControlClient client, List<HostPort> peers) {
        mIdentity = identity;
        mTable = table;
        mClient = client;
        mPeers = List.copyOf(peers);
    }

    /** Returns a broadcaster to the entries at the control addresses {@code peers}. */
    public static SuspectBroadcaster of(
            Identity identity, SuspectTable table, ControlClient client, List<HostPort> peers) {
        return new SuspectBroadcaster(identity, table, client, peers);
    }

    /** Requests all peers' suspects; for a process that has just started and has none. */
    public void fetchFromPeers() {
        send(List.of());
    }

    /** Notifies all peers of a suspect. */
    public void broadcast(Suspect suspect) {
        send(List.of(suspect));
    }

    @Override
    public SuspectList tell(SuspectList received) {
        merge(received);
        return listOf(mTable.newest(MAX_SUSPECTS));
    }

    private void send(List<Suspect> suspects) {
        SuspectList list = listOf(suspects);
        for (HostPort peer : mPeers) {
            mClient.call(peer, ServiceStub.SUSPECTS, client -> client.tell(list))
                    .whenComplete(
                            (reply, failure) -> {
                                if (failure != null) {
                                    Logger.warn(
                                            "failed to exchange suspects with {}: {}",
                                            peer,
                                            failure);
                                    return;
                                }
                                merge(reply);
                            });
        }
    }

    private void merge(SuspectList received) {
        received.getSuspects().stream()
                .limit(MAX_SUSPECTS)
                .filter(suspect -> suspect.getFingerprint().length == FINGERPRINT_BYTES)
                .filter(suspect -> suspect.getAgeMillis() >= 0)
                .map(SuspectBroadcaster::suspectOf)
                .forEach(mTable::add);
    }

    private static Suspect suspectOf(SuspectRequest received) {
        Set<Long> deaths = new HashSet<>();
        received.getDeaths().stream().limit(SuspectTable.DEATHS_TO_QUARANTINE).forEach(deaths::add);
        return new Suspect(
                ByteBuffer.wrap(received.getFingerprint()),
                deaths,
                Duration.ofMillis(received.getAgeMillis()));
    }

    private SuspectList listOf(List<Suspect> suspects) {
        List<SuspectRequest> list =
                suspects.stream()
                        .map(
                                suspect ->
                                        new SuspectRequest(
                                                suspect.fingerprint().slice(),
                                                List.copyOf(suspect.deaths()),
                                                suspect.age().toMillis()))
                        .toList();
        return new SuspectList(mIdentity.sender(), list);
    }
}
