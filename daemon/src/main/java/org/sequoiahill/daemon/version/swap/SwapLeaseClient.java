package org.sequoiahill.daemon.version.swap;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.IntSupplier;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.protocol.gen.TurnReply;
import org.sequoiahill.protocol.gen.TurnRequest;
import org.tinylog.Logger;

/** Acquires and releases the swap lease of this endpoint at the stores. */
public final class SwapLeaseClient {
    private final String mService;
    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ControlClient mControl;
    private final List<PeerVm> mStores;
    private final IntSupplier mServingEndpoints;

    private SwapLeaseClient(
            String service,
            Identity identity,
            ConfigurationView view,
            ControlClient control,
            List<PeerVm> stores,
            IntSupplier serving) {
        mService = service;
        mIdentity = identity;
        mView = view;
        mControl = control;
        mStores = stores;
        mServingEndpoints = serving;
    }

    /**
     * Returns a client of the stores.
     *
     * @param serving number of endpoints of the service that serve in this data centre
     */
    public static SwapLeaseClient of(
            String service,
            Identity identity,
            ConfigurationView view,
            ControlClient control,
            List<PeerVm> stores,
            IntSupplier serving) {
        return new SwapLeaseClient(service, identity, view, control, stores, serving);
    }

    /**
     * A granted swap lease.
     *
     * @param fence fencing number of orders under this lease
     * @param lease duration of the lease, counted from when it was requested
     */
    public record SwapLease(long fence, Duration lease) {}

    /**
     * Requests a swap lease; empty if it is refused or the stores' leader can't be reached.
     *
     * @param version manifest digest of the version to swap to
     * @param isIdle whether the endpoint serves nothing, so that its swap takes away no capacity
     */
    public Optional<SwapLease> acquire(String version, boolean isIdle) {
        TurnReply reply = send(version, isIdle, false);
        if (!reply.isGranted()) {
            Logger.debug("swap lease refused: {}", reply.getReason());
            return Optional.empty();
        }
        return Optional.of(
                new SwapLease(reply.getFence(), Duration.ofMillis(reply.getLeaseMillis())));
    }

    /** Releases a swap lease; if the leader can't be reached, the lease expires by itself. */
    public void release(String version) {
        send(version, false, true);
    }

    private TurnReply send(String version, boolean isIdle, boolean isFinished) {
        TurnRequest request =
                new TurnRequest(
                        mIdentity.sender(),
                        mService,
                        version,
                        mView.current().revision(),
                        isFinished,
                        mServingEndpoints.getAsInt(),
                        isIdle);
        for (PeerVm store : mStores) {
            try {
                return mControl.call(
                                store.control(),
                                ServiceStub.TURNS,
                                client -> client.request(request))
                        .join();
            } catch (CompletionException e) {
                Logger.debug("call to store {} failed: {}", store.vm(), e);
            }
        }
        return new TurnReply(mIdentity.sender(), false, 0, 0).setReason("no store is reachable");
    }
}
