package org.sequoiahill.daemon.process.config;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.daemon.process.log.ReplicatedLog;
import org.sequoiahill.protocol.gen.ConfigurationProposal;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.WriteResult;
import org.sequoiahill.protocol.gen.WriteStatus;
import org.tinylog.Logger;

/** Commits changes if this store leads the log; its result names the leader otherwise. */
public final class LeaderWriter implements ConfigurationWriter {
    private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(1_500);

    private final Identity mIdentity;
    private final ReplicatedLog mLog;
    private final ConfigurationStateMachine mStateMachine;
    private final InstantSource mWallClock;

    private LeaderWriter(
            Identity identity,
            ReplicatedLog log,
            ConfigurationStateMachine stateMachine,
            InstantSource wallClock) {
        mIdentity = identity;
        mLog = log;
        mStateMachine = stateMachine;
        mWallClock = wallClock;
    }

    /** Returns a writer on a store. */
    public static LeaderWriter of(
            Identity identity,
            ReplicatedLog log,
            ConfigurationStateMachine stateMachine,
            InstantSource wallClock) {
        return new LeaderWriter(identity, log, stateMachine, wallClock);
    }

    @Override
    public CompletableFuture<WriteResult> write(ConfigurationWrite write) {
        if (!mLog.isLeader()) {
            return CompletableFuture.completedFuture(unavailable("this store is not the leader"));
        }
        ConfigurationProposal proposal = new ConfigurationProposal(mWallClock.millis(), write);
        return mLog.propose(ThriftBytes.write(proposal))
                .orTimeout(COMMIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(index -> mStateMachine.resultAt(index).orElseThrow())
                .exceptionally(
                        failure -> {
                            Logger.debug("a change was not confirmed as committed: {}", failure);
                            return unavailable("no majority of the stores has responded in time");
                        });
    }

    private WriteResult unavailable(String message) {
        WriteResult result = new WriteResult(mIdentity.sender(), WriteStatus.UNAVAILABLE, 0);
        mLog.leaderVm().ifPresent(result::setLeaderVm);
        return result.setMessage(message);
    }
}
