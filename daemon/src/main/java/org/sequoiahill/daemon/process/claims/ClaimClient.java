package org.sequoiahill.daemon.process.claims;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlClient.ThriftCall;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.LeaderClient;
import org.sequoiahill.daemon.process.control.LeaderClient.LeaderHint;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.ClaimStatus;
import org.sequoiahill.protocol.gen.Claims;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.ReleaseRequest;
import org.tinylog.Logger;

/**
 * Registry for any process, through the leader of the stores; futures complete with UNAVAILABLE if
 * no leader responds.
 */
public final class ClaimClient implements ClaimRegistry {
    private final Identity mIdentity;
    private final LeaderClient mLeader;

    private ClaimClient(Identity identity, LeaderClient leader) {
        mIdentity = identity;
        mLeader = leader;
    }

    /** Returns a client of the stores. */
    public static ClaimClient of(Identity identity, ControlClient client, List<PeerVm> stores) {
        return new ClaimClient(identity, LeaderClient.of(client, stores));
    }

    @Override
    public CompletableFuture<ClaimReply> claim(ClaimRequest request) {
        return call(client -> client.claim(request));
    }

    @Override
    public CompletableFuture<ClaimReply> lookUp(ClaimRequest request) {
        return call(client -> client.lookUp(request));
    }

    @Override
    public CompletableFuture<ClaimReply> release(ReleaseRequest request) {
        return call(client -> client.release(request));
    }

    @Override
    public CompletableFuture<ClaimReply> complete(CompleteRequest request) {
        return call(client -> client.complete(request));
    }

    private CompletableFuture<ClaimReply> call(ThriftCall<Claims.Client, ClaimReply> call) {
        return mLeader.call(ServiceStub.CLAIMS, call, ClaimClient::hintOf)
                .exceptionally(
                        failure -> {
                            Logger.warn("no leader of the claims log has responded: {}", failure);
                            return new ClaimReply(
                                    mIdentity.sender(), ClaimStatus.UNAVAILABLE, 0, 0);
                        });
    }

    private static LeaderHint hintOf(ClaimReply reply) {
        return new LeaderHint(
                reply.getStatus() != ClaimStatus.UNAVAILABLE,
                Optional.ofNullable(reply.getLeaderVm()));
    }
}
