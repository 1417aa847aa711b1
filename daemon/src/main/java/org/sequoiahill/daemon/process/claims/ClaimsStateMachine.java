package org.sequoiahill.daemon.process.claims;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.daemon.process.log.StateMachine;
import org.sequoiahill.protocol.gen.ClaimCommand;
import org.sequoiahill.protocol.gen.ClaimStatus;
import org.sequoiahill.protocol.gen.ClaimsSnapshot;

/** State machine of the log of group {@code claims}. */
public final class ClaimsStateMachine implements StateMachine {
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_KEPT_DECISIONS = 8_192;

    private final ClaimTable mTable;
    private final Map<Long, ClaimTable.Decision> mDecisions =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, ClaimTable.Decision> eldest) {
                    return size() > MAX_KEPT_DECISIONS;
                }
            };

    private ClaimsStateMachine(ClaimLimits limits) {
        mTable = new ClaimTable(limits);
    }

    /** Returns a state machine without claims. */
    public static ClaimsStateMachine of(ClaimLimits limits) {
        return new ClaimsStateMachine(limits);
    }

    @Override
    public synchronized void apply(long index, byte[] payload) {
        ClaimCommand command = ThriftBytes.read(new ClaimCommand(), payload);
        mTable.advanceTimeTo(command.getProposedAtMillis());
        mDecisions.put(index, decide(command));
    }

    @Override
    public synchronized byte[] snapshot() {
        ClaimsSnapshot snapshot = new ClaimsSnapshot();
        snapshot.setFormatVersion(FORMAT_VERSION);
        mTable.writeTo(snapshot);
        return ThriftBytes.write(snapshot);
    }

    @Override
    public synchronized void restore(byte[] bytes) {
        ClaimsSnapshot snapshot = ThriftBytes.read(new ClaimsSnapshot(), bytes);
        if (snapshot.getFormatVersion() != FORMAT_VERSION) {
            throw new IllegalStateException(
                    "the snapshot of claims has format version "
                            + snapshot.getFormatVersion()
                            + ", this program reads "
                            + FORMAT_VERSION);
        }
        mTable.restore(snapshot);
        mDecisions.clear();
    }

    /** Returns the number of records, including those of released claims, without expired keys. */
    public synchronized int size() {
        return mTable.size();
    }

    /** Returns the total size of these records, in bytes. */
    public synchronized long bytes() {
        return mTable.bytes();
    }

    /** Returns the decision on the command at an index; only the newest few thousand are kept. */
    synchronized Optional<ClaimTable.Decision> decisionAt(long index) {
        return Optional.ofNullable(mDecisions.get(index));
    }

    private ClaimTable.Decision decide(ClaimCommand command) {
        if (!ClaimChecks.isComplete(command)) {
            return new ClaimTable.Decision(ClaimStatus.UNAVAILABLE, null);
        }
        if (command.isSetClaim()) {
            return mTable.claim(command.getClaim());
        }
        if (command.isSetLookUp()) {
            return mTable.lookUp(command.getLookUp());
        }
        if (command.isSetRelease()) {
            return mTable.release(command.getRelease());
        }
        return mTable.complete(command.getComplete());
    }
}
