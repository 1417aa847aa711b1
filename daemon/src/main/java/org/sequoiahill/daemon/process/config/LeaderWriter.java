package org.sequoiahill.daemon.process.config;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.log.ReplicatedLog;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.WriteResult;

/** Commits changes on the leader of the log, and passes them on elsewhere. */
public final class LeaderWriter implements ConfigurationWriter {
    private final ReplicatedLog mLog;
    private final ConfigurationMachine mMachine;
    private final ControlClient mClient;
    private final List<PeerVm> mStores;

    private LeaderWriter(
            ReplicatedLog log,
            ConfigurationMachine machine,
            ControlClient client,
            List<PeerVm> stores) {
        mLog = log;
        mMachine = machine;
        mClient = client;
        mStores = stores;
    }

    /** Returns a writer on a store. */
    public static LeaderWriter of(
            ReplicatedLog log,
            ConfigurationMachine machine,
            ControlClient client,
            List<PeerVm> stores) {
        return new LeaderWriter(log, machine, client, stores);
    }

    @Override
    public CompletableFuture<WriteResult> write(ConfigurationWrite write) {
        if (mLog.isLeader()) {
            return mLog.propose(ConfigurationMachine.encode(write))
                    .thenApply(index -> mMachine.resultOf(write.getChangeId()).orElseThrow());
        }
        return mStores.stream()
                .filter(store -> mLog.leaderVm().filter(store.vm()::equals).isPresent())
                .findFirst()
                .map(leader -> forward(leader, write))
                .orElseGet(
                        () ->
                                CompletableFuture.failedFuture(
                                        new IllegalStateException("no leader is known")));
    }

    private CompletableFuture<WriteResult> forward(PeerVm leader, ConfigurationWrite write) {
        return mClient.call(
                leader.control(), ServiceStub.CONFIGURATION, client -> client.write(write));
    }
}
