package org.sequoiahill.daemon.process;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.daemon.process.log.ReplicatedLog;

/** Several state machines on one log; the first byte of a payload tells which it is for. */
final class SharedLog implements ReplicatedLog {
    private final ReplicatedLog mLog;
    private final byte mPart;

    private SharedLog(ReplicatedLog log, byte part) {
        mLog = log;
        mPart = part;
    }

    /** Returns the log of one machine, by its place in the list given to {@link #applier}. */
    static ReplicatedLog part(ReplicatedLog log, int part) {
        return new SharedLog(log, (byte) part);
    }

    /** Returns an applier that gives each payload to its machine. */
    static Applier applier(List<Applier> parts) {
        return (index, payload) ->
                parts.get(payload[0]).apply(index, Arrays.copyOfRange(payload, 1, payload.length));
    }

    @Override
    public CompletableFuture<Long> propose(byte[] payload) {
        byte[] tagged = ByteBuffer.allocate(payload.length + 1).put(mPart).put(payload).array();
        return mLog.propose(tagged);
    }

    @Override
    public boolean isLeader() {
        return mLog.isLeader();
    }

    @Override
    public long term() {
        return mLog.term();
    }

    @Override
    public Optional<String> leaderVm() {
        return mLog.leaderVm();
    }
}
