package org.sequoiahill.daemon.process.claims;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.daemon.process.log.ReplicatedLog;
import org.sequoiahill.protocol.gen.ClaimCommand;
import org.sequoiahill.protocol.gen.ClaimRecord;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.ClaimStatus;
import org.sequoiahill.protocol.gen.Claims;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.ReleaseRequest;
import org.tinylog.Logger;

/** Commits claims if this store leads their log; its reply names the leader otherwise. */
public final class ClaimsHandler implements Claims.Iface {
    private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(1_500);

    private final Identity mIdentity;
    private final ReplicatedLog mLog;
    private final ClaimsStateMachine mStateMachine;
    private final InstantSource mWallClock;

    private ClaimsHandler(
            Identity identity,
            ReplicatedLog log,
            ClaimsStateMachine stateMachine,
            InstantSource wallClock) {
        mIdentity = identity;
        mLog = log;
        mStateMachine = stateMachine;
        mWallClock = wallClock;
    }

    /** Returns a handler on a store. */
    public static ClaimsHandler of(
            Identity identity,
            ReplicatedLog log,
            ClaimsStateMachine stateMachine,
            InstantSource wallClock) {
        return new ClaimsHandler(identity, log, stateMachine, wallClock);
    }

    @Override
    public ClaimReply claim(ClaimRequest request) {
        return commit(command().setClaim(request));
    }

    @Override
    public ClaimReply lookUp(ClaimRequest request) {
        return commit(command().setLookUp(request));
    }

    @Override
    public ClaimReply release(ReleaseRequest request) {
        return commit(command().setRelease(request));
    }

    @Override
    public ClaimReply complete(CompleteRequest request) {
        return commit(command().setComplete(request));
    }

    private ClaimCommand command() {
        return new ClaimCommand().setProposedAtMillis(mWallClock.millis());
    }

    private ClaimReply commit(ClaimCommand command) {
        if (!mLog.isLeader() || !ClaimChecks.isComplete(command)) {
            return unavailable();
        }
        try {
            return mLog.propose(ThriftBytes.write(command))
                    .orTimeout(COMMIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .thenApply(mStateMachine::decisionAt)
                    .thenApply(decision -> decision.map(this::replyOf).orElseGet(this::unavailable))
                    .join();
        } catch (CompletionException e) {
            Logger.debug("a claim was not confirmed as committed: {}", e.getCause());
            return unavailable();
        }
    }

    private ClaimReply replyOf(ClaimTable.Decision decision) {
        ClaimReply reply = new ClaimReply(mIdentity.sender(), decision.status(), 0, 0);
        ClaimRecord record = decision.record();
        if (record != null) {
            reply.setAttempt(record.getAttempt());
            reply.setAgentVm(record.getAgentVm());
            reply.setAgentIncarnation(record.getAgentIncarnation());
            reply.setOutcome(record.getOutcome());
        }
        if (decision.status() == ClaimStatus.UNAVAILABLE) {
            reply.setLeaderVm(mIdentity.vm());
        }
        return reply;
    }

    private ClaimReply unavailable() {
        ClaimReply reply = new ClaimReply(mIdentity.sender(), ClaimStatus.UNAVAILABLE, 0, 0);
        mLog.leaderVm().ifPresent(reply::setLeaderVm);
        return reply;
    }
}
