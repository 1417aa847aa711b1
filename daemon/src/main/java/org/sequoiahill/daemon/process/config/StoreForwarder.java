package org.sequoiahill.daemon.process.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.LeaderClient;
import org.sequoiahill.daemon.process.control.LeaderClient.LeaderHint;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.protocol.gen.AuditPage;
import org.sequoiahill.protocol.gen.AuditQuery;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.WriteResult;
import org.sequoiahill.protocol.gen.WriteStatus;

/** Forwards changes to the leader of the stores; the change id makes a resend idempotent. */
public final class StoreForwarder implements ConfigurationWriter {
    private final LeaderClient mLeader;

    private StoreForwarder(LeaderClient leader) {
        mLeader = leader;
    }

    /** Returns a writer for any process. */
    public static StoreForwarder of(ControlClient client, List<PeerVm> stores) {
        return new StoreForwarder(LeaderClient.of(client, stores));
    }

    @Override
    public CompletableFuture<WriteResult> write(ConfigurationWrite write) {
        return mLeader.call(
                ServiceStub.CONFIGURATION, client -> client.write(write), StoreForwarder::hintOf);
    }

    /** Reads the audit trail from a store, the leader first if known. */
    public CompletableFuture<AuditPage> audit(AuditQuery query) {
        return mLeader.call(
                ServiceStub.CONFIGURATION,
                client -> client.audit(query),
                page -> new LeaderHint(page.getLastSequence() >= 0, Optional.empty()));
    }

    private static LeaderHint hintOf(WriteResult result) {
        return new LeaderHint(
                result.getStatus() != WriteStatus.UNAVAILABLE,
                Optional.ofNullable(result.getLeaderVm()));
    }
}
