package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.log.Member;
import org.sequoiahill.daemon.process.log.ReplicatedLog;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.PauseDetector;
import org.sequoiahill.protocol.gen.ChangeOutcome;
import org.sequoiahill.protocol.gen.ChangeReply;
import org.sequoiahill.protocol.gen.ChangeRequest;
import org.sequoiahill.protocol.gen.ContentReply;
import org.sequoiahill.protocol.gen.ContentRequest;
import org.sequoiahill.protocol.gen.DataCentreChange;
import org.sequoiahill.protocol.gen.FleetChange;
import org.tinylog.Logger;

/**
 * Reads and changes the fleet's state from any store; the leader of the log executes changes and
 * reads of the latest state.
 */
public final class FleetStore {
    /** Longest wait for the leader; operators switch to another store after one second. */
    private static final Duration LEADER_TIMEOUT = Duration.ofMillis(900);

    /** Time after a pause in which orders that arrived during it may still be read. */
    private static final Duration PAUSE_EFFECT = Duration.ofSeconds(2);

    private final Identity mIdentity;
    private final FleetLog mLog;
    private final FleetStateMachine mMachine;
    private final ControlClient mClient;
    private final PauseDetector mPauses;

    private FleetStore(
            Identity identity,
            FleetLog log,
            FleetStateMachine machine,
            ControlClient client,
            PauseDetector pauses) {
        mIdentity = identity;
        mLog = log;
        mMachine = machine;
        mClient = client;
        mPauses = pauses;
    }

    /** Returns access to the fleet's state from one store. */
    public static FleetStore of(
            Identity identity,
            FleetLog log,
            FleetStateMachine machine,
            ControlClient client,
            PauseDetector pauses) {
        return new FleetStore(identity, log, machine, client, pauses);
    }

    /** Returns the state that this store has applied, which may lag behind the leader. */
    public FleetState appliedState() {
        return mMachine.state();
    }

    /** Returns whether the applied state is nearly up to date; see {@code GroupLog.isCurrent}. */
    public boolean isCurrent() {
        return mLog.log().isCurrent();
    }

    /** Returns the control addresses of the stores known to this one. */
    public List<String> addresses() {
        return mLog.log().members().members().stream().map(Member::address).toList();
    }

    /**
     * Makes a change; completes with whether it is committed. A change that isn't accepted may
     * still be committed later.
     *
     * <p>A routing table or version that this store's state already includes is accepted without
     * the leader, since their numbers never decrease.
     */
    public CompletableFuture<ChangeReply> change(FleetChange change) {
        if (change.isSetDataCentre()) {
            return change(change.getDataCentre());
        }
        if (mMachine.state().includes(change)) {
            return CompletableFuture.completedFuture(accepted("already in force"));
        }
        return changeAtLeader(change);
    }

    /**
     * Makes a change of a data centre, which always goes to the leader, since a later change may be
     * unknown to this store.
     *
     * <p>Orders have no numbers, so the change takes effect only if the data centre is not changed
     * between now and the commit. An order that was sent long before it is read, because this
     * process was paused, would pass that check; it is refused, and the operator sends it again if
     * it is still wanted.
     */
    private CompletableFuture<ChangeReply> change(DataCentreChange change) {
        DataCentreChange guarded = change.deepCopy();
        guarded.setExpectedIndex(mMachine.state().lastChangeOf(change.getDataCentre()));
        // A pause after this check is harmless: the expected index dates from before it.
        if (mPauses.wasPausedWithin(PAUSE_EFFECT)) {
            return CompletableFuture.completedFuture(
                    unavailable("the order may have been sent before a pause of this store"));
        }
        return changeAtLeader(FleetChange.dataCentre(guarded));
    }

    private CompletableFuture<ChangeReply> changeAtLeader(FleetChange change) {
        ReplicatedLog log = mLog.log();
        if (log.isLeader()) {
            return changeAsLeader(change);
        }
        Optional<HostPort> leader = leader();
        if (leader.isEmpty()) {
            return CompletableFuture.completedFuture(unavailable("no leader is known"));
        }
        ChangeRequest request = new ChangeRequest(mIdentity.sender(), change);
        return mClient.call(leader.get(), ServiceStub.FLEET, client -> client.change(request))
                .completeOnTimeout(
                        unavailable("the leader did not respond in time"),
                        LEADER_TIMEOUT.toMillis(),
                        TimeUnit.MILLISECONDS)
                .exceptionally(failure -> unavailable("the leader can't be reached: " + failure));
    }

    /** Proposes a change at this store; completes as unavailable unless the store is the leader. */
    CompletableFuture<ChangeReply> changeAsLeader(FleetChange change) {
        if (change.isSetQuarantine()
                && mMachine.state().includes(change)
                && mLog.log().isLeader()) {
            return CompletableFuture.completedFuture(accepted("already in force"));
        }
        return mLog.log()
                .propose(FleetStateMachine.encode(change))
                .thenApply(this::committed)
                .exceptionally(failure -> unavailable(String.valueOf(failure.getMessage())));
    }

    /**
     * Completes with the latest state, or with nothing if it can't be confirmed with the leader.
     */
    public CompletableFuture<Optional<FleetState>> latestState() {
        if (mLog.log().isLeader()) {
            return latestStateAsLeader();
        }
        Optional<HostPort> leader = leader();
        if (leader.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ContentRequest request = new ContentRequest(mIdentity.sender());
        return mClient.call(leader.get(), ServiceStub.FLEET, client -> client.content(request))
                .thenApply(FleetStore::stateOf)
                .completeOnTimeout(
                        Optional.empty(), LEADER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(FleetStore::logReadFailure);
    }

    /**
     * Completes with the latest state if this store is confirmed as the leader, else with nothing.
     */
    CompletableFuture<Optional<FleetState>> latestStateAsLeader() {
        return mLog.log()
                .confirmLeadership()
                .thenApply(confirmed -> Optional.of(mMachine.state()))
                .exceptionally(FleetStore::logReadFailure);
    }

    private Optional<HostPort> leader() {
        return mLog.log()
                .leaderVm()
                .filter(vm -> !vm.equals(mIdentity.vm()))
                .flatMap(vm -> mLog.log().members().byVm(vm))
                .map(member -> HostPort.parse(member.address()));
    }

    private ChangeReply committed(long index) {
        return mMachine.wasSuperseded(index)
                ? unavailable("another change was made after the order was received")
                : accepted("committed at " + index);
    }

    private ChangeReply accepted(String reason) {
        return new ChangeReply(mIdentity.sender(), ChangeOutcome.ACCEPTED, reason);
    }

    private ChangeReply unavailable(String reason) {
        return new ChangeReply(mIdentity.sender(), ChangeOutcome.UNAVAILABLE, reason);
    }

    private static Optional<FleetState> stateOf(ContentReply reply) {
        return reply.isSetContent()
                ? Optional.of(FleetState.fromThrift(reply.getContent()))
                : Optional.empty();
    }

    private static Optional<FleetState> logReadFailure(Throwable failure) {
        Logger.warn("the latest fleet state can't be read: {}", failure.toString());
        return Optional.empty();
    }

    /** Waits for a future in a Thrift handler, with a fallback after {@link #LEADER_TIMEOUT}. */
    static <T> T await(CompletableFuture<T> future, T fallback) throws TException {
        try {
            return future.completeOnTimeout(
                            fallback, LEADER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
        } catch (RuntimeException e) {
            throw new TException(e);
        }
    }
}
