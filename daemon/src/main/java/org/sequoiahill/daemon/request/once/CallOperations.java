package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiahill.daemon.process.claims.ClaimRegistry;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.ReleaseRequest;

/**
 * Operations on one request, carried out by the claim registry and the agents.
 *
 * @param identity identity of this process
 * @param registry registry of claims
 * @param barClient bars attempts at agents
 * @param scheduler runs delayed tasks
 * @param key key of the request
 */
record CallOperations(
        Identity identity,
        ClaimRegistry registry,
        AttemptBarClient barClient,
        ScheduledExecutorService scheduler,
        CallKey key)
        implements RunOnceOperations {
    @Override
    public CompletableFuture<ClaimReply> claim(ClaimHolder holder) {
        return registry.claim(requestOf(holder));
    }

    @Override
    public CompletableFuture<ClaimReply> lookUp(ClaimHolder holder) {
        return registry.lookUp(requestOf(holder));
    }

    @Override
    public CompletableFuture<ClaimReply> release(ClaimHolder holder) {
        return registry.release(
                new ReleaseRequest(identity.sender(), key.claim(), holder.attempt()));
    }

    @Override
    public CompletableFuture<ClaimReply> complete(
            ClaimHolder holder, Optional<RecordedResponse> response) {
        CompleteRequest request =
                new CompleteRequest(
                        identity.sender(), key.claim(), holder.attempt(), response.isPresent());
        response.ifPresent(known -> request.setOutcome(known.toOutcome()));
        return registry.complete(request);
    }

    @Override
    public CompletableFuture<BarVerdict> bar(ClaimHolder holder) {
        return barClient.bar(holder.agent().vm(), ticketOf(holder));
    }

    @Override
    public CompletableFuture<Void> delay(Duration time) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        scheduler.schedule(() -> elapsed.complete(null), time.toMillis(), TimeUnit.MILLISECONDS);
        return elapsed;
    }

    AttemptTicket ticketOf(ClaimHolder holder) {
        return new AttemptTicket(holder.agent().incarnation(), holder.attempt(), key.keyDigest());
    }

    private ClaimRequest requestOf(ClaimHolder holder) {
        return new ClaimRequest(
                identity.sender(),
                key.claim(),
                key.contentDigest().slice(),
                holder.attempt(),
                holder.agent().vm(),
                holder.agent().incarnation());
    }
}
