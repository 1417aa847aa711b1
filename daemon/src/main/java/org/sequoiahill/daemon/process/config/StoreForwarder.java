package org.sequoiahill.daemon.process.config;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.WriteResult;

/** Gives a change to the first store that takes it; the change id makes the resend idempotent. */
public final class StoreForwarder implements ConfigurationWriter {
    private final ControlClient mClient;
    private final List<PeerVm> mStores;

    private StoreForwarder(ControlClient client, List<PeerVm> stores) {
        mClient = client;
        mStores = stores;
    }

    /** Returns a writer on a process that is no store itself. */
    public static StoreForwarder of(ControlClient client, List<PeerVm> stores) {
        return new StoreForwarder(client, stores);
    }

    @Override
    public CompletableFuture<WriteResult> write(ConfigurationWrite write) {
        return writeTo(0, write);
    }

    private CompletableFuture<WriteResult> writeTo(int store, ConfigurationWrite write) {
        if (store >= mStores.size()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("no store can be reached"));
        }
        return mClient.call(
                        mStores.get(store).control(),
                        ServiceStub.CONFIGURATION,
                        client -> client.write(write))
                .handle(
                        (result, failure) ->
                                failure == null
                                        ? CompletableFuture.completedFuture(result)
                                        : writeTo(store + 1, write))
                .thenCompose(future -> future);
    }
}
