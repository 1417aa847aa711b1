package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.protocol.gen.ChangeOutcome;
import org.sequoiahill.protocol.gen.ChangeReply;
import org.sequoiahill.protocol.gen.ChangeRequest;
import org.sequoiahill.protocol.gen.FleetChange;
import org.tinylog.Logger;

/**
 * Proposes changes of the fleet's state from a daemon that is not a store: asks one store after
 * another until the one that leads the log accepts.
 */
public final class FleetChangeProposer {
    private static final int MAX_ROUNDS = 5;
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(500);

    private final Identity mIdentity;
    private final Supplier<Set<HostPort>> mStores;
    private final ControlClient mClient;
    private final DelayedExecutor mRunner;

    private FleetChangeProposer(
            Identity identity,
            Supplier<Set<HostPort>> stores,
            ControlClient client,
            DelayedExecutor runner) {
        mIdentity = identity;
        mStores = stores;
        mClient = client;
        mRunner = runner;
    }

    /**
     * Returns a proposer.
     *
     * @param stores returns the control addresses of the stores
     */
    public static FleetChangeProposer of(
            Identity identity,
            Supplier<Set<HostPort>> stores,
            ControlClient client,
            DelayedExecutor runner) {
        return new FleetChangeProposer(identity, stores, client, runner);
    }

    /** Proposes a change without waiting; gives up after a few rounds without a leader. */
    public void propose(FleetChange change) {
        propose(change, 1);
    }

    private void propose(FleetChange change, int round) {
        proposeToNext(change, round, List.copyOf(mStores.get()).iterator());
    }

    private void proposeToNext(FleetChange change, int round, Iterator<HostPort> stores) {
        if (stores.hasNext()) {
            ChangeRequest request = new ChangeRequest(mIdentity.sender(), change);
            mClient.call(stores.next(), ServiceStub.FLEET, client -> client.change(request))
                    .whenComplete(
                            (reply, failure) -> {
                                if (!isAccepted(reply)) {
                                    proposeToNext(change, round, stores);
                                }
                            });
        } else if (round < MAX_ROUNDS) {
            mRunner.runAfter(ROUND_INTERVAL, () -> propose(change, round + 1));
        } else {
            Logger.warn("no store accepts the change {}", change);
        }
    }

    private static boolean isAccepted(@Nullable ChangeReply reply) {
        return reply != null && reply.getOutcome() == ChangeOutcome.ACCEPTED;
    }
}
