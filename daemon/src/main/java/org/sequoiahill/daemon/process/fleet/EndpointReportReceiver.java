package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.endpoints.EndpointRegistry;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.ReportRelay;
import org.tinylog.Logger;

/**
 * Accepts the reports that endpoints send to one store.
 *
 * <p>The first report that an endpoint is leaving is relayed to the other stores before it is
 * acknowledged, so that the endpoint does not reappear if this store fails right afterwards. Stores
 * that can't be reached or don't respond in time do not prevent the acknowledgement.
 */
public final class EndpointReportReceiver {
    /** Longest wait for the other stores; endpoints wait one second for an acknowledgement. */
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(400);

    private final Identity mIdentity;
    private final HostPort mSelf;
    private final EndpointRegistry mRegistry;
    private final FleetStore mStore;
    private final ControlClient mClient;

    private EndpointReportReceiver(
            Identity identity,
            HostPort self,
            EndpointRegistry registry,
            FleetStore store,
            ControlClient client) {
        mIdentity = identity;
        mSelf = self;
        mRegistry = registry;
        mStore = store;
        mClient = client;
    }

    /**
     * Returns a receiver of reports.
     *
     * @param self control address of this store
     */
    public static EndpointReportReceiver of(
            Identity identity,
            HostPort self,
            EndpointRegistry registry,
            FleetStore store,
            ControlClient client) {
        return new EndpointReportReceiver(identity, self, registry, store, client);
    }

    /** Accepts a report; completes once it may be acknowledged. */
    public CompletableFuture<@Nullable Void> accept(EndpointReport report) {
        if (!mRegistry.report(report)) {
            return CompletableFuture.completedFuture(null);
        }
        return relay(report);
    }

    /**
     * Records that an endpoint has gone and relays this, even if the endpoint was already known to
     * be leaving; completes once it may be acknowledged.
     *
     * @param startedAt the start that has gone in Unix milliseconds; 0 if unknown
     */
    public CompletableFuture<@Nullable Void> deregister(String id, long startedAt) {
        EndpointReport report = mRegistry.goneReport(id, startedAt);
        mRegistry.report(report);
        return relay(report);
    }

    private CompletableFuture<@Nullable Void> relay(EndpointReport report) {
        ReportRelay relay = new ReportRelay(mIdentity.sender(), report);
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (String address : mStore.addresses()) {
            HostPort store = HostPort.parse(address);
            if (!store.equals(mSelf)) {
                calls.add(
                        mClient.call(store, ServiceStub.FLEET, client -> client.relay(relay))
                                .whenComplete(
                                        (reply, failure) -> logFailure(report, address, failure)));
            }
        }
        CompletableFuture<@Nullable Void> all =
                CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
        return all.exceptionally(failure -> null)
                .completeOnTimeout(null, RELAY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static void logFailure(
            EndpointReport report, String address, @Nullable Throwable failure) {
        if (failure != null) {
            Logger.warn(
                    "can't notify store {} that endpoint {} is leaving or has gone: {}",
                    address,
                    report.getId(),
                    failure.toString());
        }
    }
}
