package org.sequoiahill.daemon.request.once;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sequoiahill.protocol.gen.ClaimReply;

/** Carries out the actions of a {@link RunOnceMachine} until it sends or ends. */
public final class RunOnceDriver {
    private final RunOnceMachine mMachine;
    private final RunOncePorts mPorts;
    private final Holder mOwn;

    private RunOnceDriver(RunOnceMachine machine, RunOncePorts ports, Holder own) {
        mMachine = machine;
        mPorts = ports;
        mOwn = own;
    }

    /** Returns a driver of a new machine for the attempt {@code own}. */
    public static RunOnceDriver of(RunOnceMachine machine, RunOncePorts ports, Holder own) {
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
            return registry(mPorts.claim(claim.holder()));
        } else if (action instanceof RunOnceAction.LookUp) {
            return registry(mPorts.lookUp(mOwn));
        } else if (action instanceof RunOnceAction.Release release) {
            return registry(mPorts.release(release.holder()));
        } else if (action instanceof RunOnceAction.Complete complete) {
            return registry(mPorts.complete(complete.holder(), complete.answer()));
        } else if (action instanceof RunOnceAction.Bar bar) {
            return follow(
                    mPorts.bar(bar.holder()),
                    RunOnceEvent.BarAnswered::new,
                    new RunOnceEvent.AgentUnreachable());
        } else if (action instanceof RunOnceAction.Wait wait) {
            RunOnceEvent over = new RunOnceEvent.WaitOver();
            return follow(mPorts.after(wait.time()), ignored -> over, over);
        }
        return CompletableFuture.completedFuture(action);
    }

    private CompletableFuture<RunOnceAction> registry(CompletableFuture<ClaimReply> reply) {
        return follow(reply, RunOnceEvent.RegistryAnswered::new, new RunOnceEvent.RegistryLost());
    }

    private <T> CompletableFuture<RunOnceAction> follow(
            CompletableFuture<T> result, Function<T, RunOnceEvent> toEvent, RunOnceEvent lost) {
        return result.handle((value, failure) -> failure == null ? toEvent.apply(value) : lost)
                .thenCompose(event -> perform(mMachine.on(event)));
    }
}
