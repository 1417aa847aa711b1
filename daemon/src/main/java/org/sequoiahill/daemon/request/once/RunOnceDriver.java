package org.sequoiahill.daemon.request.once;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sequoiahill.protocol.gen.ClaimReply;

/** Carries out the actions of a {@link RunOnceStateMachine} until it sends or ends. */
public final class RunOnceDriver {
    private final RunOnceStateMachine mMachine;
    private final RunOnceOperations mOperations;
    private final ClaimHolder mOwn;

    private RunOnceDriver(RunOnceStateMachine machine, RunOnceOperations ports, ClaimHolder own) {
        mMachine = machine;
        mOperations = ports;
        mOwn = own;
    }

    /** Returns a driver of a new machine for the attempt {@code own}. */
    public static RunOnceDriver of(
            RunOnceStateMachine machine, RunOnceOperations ports, ClaimHolder own) {
        return new RunOnceDriver(machine, ports, own);
    }

    /** Claims; completes with the action to send, to answer or to refuse. */
    public CompletableFuture<RunOnceAction> begin() {
        return perform(mMachine.begin());
    }

    /** Settles what became of the sent call; completes with the action that ends it. */
    public CompletableFuture<RunOnceAction> settle(RunOnceEvent event) {
        return perform(mMachine.on(event));
    }

    private CompletableFuture<RunOnceAction> perform(RunOnceAction action) {
        if (action instanceof RunOnceAction.Claim claim) {
            return awaitRegistry(mOperations.claim(claim.holder()));
        } else if (action instanceof RunOnceAction.LookUp) {
            return awaitRegistry(mOperations.lookUp(mOwn));
        } else if (action instanceof RunOnceAction.Release release) {
            return awaitRegistry(mOperations.release(release.holder()));
        } else if (action instanceof RunOnceAction.Complete complete) {
            return awaitRegistry(mOperations.complete(complete.holder(), complete.response()));
        } else if (action instanceof RunOnceAction.Bar bar) {
            return await(
                    mOperations.bar(bar.holder()),
                    RunOnceEvent.BarReplied::new,
                    new RunOnceEvent.AgentUnreachable());
        } else if (action instanceof RunOnceAction.Wait wait) {
            RunOnceEvent over = new RunOnceEvent.WaitElapsed();
            return await(mOperations.delay(wait.time()), ignored -> over, over);
        }
        return CompletableFuture.completedFuture(action);
    }

    private CompletableFuture<RunOnceAction> awaitRegistry(CompletableFuture<ClaimReply> reply) {
        return await(
                reply, RunOnceEvent.RegistryReplied::new, new RunOnceEvent.RegistryUnavailable());
    }

    private <T> CompletableFuture<RunOnceAction> await(
            CompletableFuture<T> result, Function<T, RunOnceEvent> toEvent, RunOnceEvent lost) {
        return result.handle((value, failure) -> failure == null ? toEvent.apply(value) : lost)
                .thenCompose(event -> perform(mMachine.on(event)));
    }
}
