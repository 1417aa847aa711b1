package org.sequoiahill.daemon.request.once;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sequoiahill.protocol.gen.ClaimReply;

/** Executes the actions of a {@link RunOnceStateMachine} until it sends the request or ends. */
public final class RunOnceDriver {
    private final RunOnceStateMachine mMachine;
    private final RunOnceOperations mOperations;
    private final ClaimHolder mOwn;

    private RunOnceDriver(
            RunOnceStateMachine stateMachine, RunOnceOperations operations, ClaimHolder own) {
        mMachine = stateMachine;
        mOperations = operations;
        mOwn = own;
    }

    /** Returns a driver of a new state machine for the attempt {@code own}. */
    public static RunOnceDriver of(
            RunOnceStateMachine stateMachine, RunOnceOperations operations, ClaimHolder own) {
        return new RunOnceDriver(stateMachine, operations, own);
    }

    /** Claims the request; completes with a Send, Answer or Refuse action. */
    public CompletableFuture<RunOnceAction> begin() {
        return perform(mMachine.begin());
    }

    /** Processes the result of sending the request; completes with the action that ends it. */
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
            RunOnceEvent elapsed = new RunOnceEvent.WaitElapsed();
            return await(mOperations.delay(wait.time()), ignored -> elapsed, elapsed);
        }
        return CompletableFuture.completedFuture(action);
    }

    private CompletableFuture<RunOnceAction> awaitRegistry(CompletableFuture<ClaimReply> reply) {
        return await(
                reply, RunOnceEvent.RegistryReplied::new, new RunOnceEvent.RegistryUnavailable());
    }

    private <T> CompletableFuture<RunOnceAction> await(
            CompletableFuture<T> result,
            Function<T, RunOnceEvent> toEvent,
            RunOnceEvent onFailure) {
        return result.handle((value, failure) -> failure == null ? toEvent.apply(value) : onFailure)
                .thenCompose(event -> perform(mMachine.on(event)));
    }
}
