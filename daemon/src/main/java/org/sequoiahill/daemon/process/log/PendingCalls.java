package org.sequoiahill.daemon.process.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Proposals and reads that are not completed yet. */
final class PendingCalls {
    private final Executor mCallbacks;
    private final TreeMap<Long, PendingProposal> mProposals = new TreeMap<>();
    private final Map<Long, CompletableFuture<Void>> mReads = new HashMap<>();
    private long mNextRead;

    private PendingCalls(Executor callbacks) {
        mCallbacks = callbacks;
    }

    static PendingCalls on(Executor callbacks) {
        return new PendingCalls(callbacks);
    }

    private record PendingProposal(long term, CompletableFuture<Long> done) {}

    void addProposal(Proposal proposal, CompletableFuture<Long> done) {
        if (proposal.refusal().isPresent()) {
            fail(done, proposal.refusal().get());
            return;
        }
        PendingProposal earlier =
                mProposals.put(proposal.index(), new PendingProposal(proposal.term(), done));
        if (earlier != null) {
            fail(earlier.done(), LogFailure.Kind.OUTCOME_UNKNOWN);
        }
    }

    long addRead(CompletableFuture<Void> done) {
        long id = mNextRead++;
        mReads.put(id, done);
        return id;
    }

    void committed(Entry entry) {
        PendingProposal pending = mProposals.remove(entry.index());
        if (pending == null) {
            return;
        }
        if (pending.term() == entry.term()) {
            mCallbacks.execute(() -> pending.done().complete(entry.index()));
        } else {
            fail(pending.done(), LogFailure.Kind.OUTCOME_UNKNOWN);
        }
    }

    void readReady(long id) {
        CompletableFuture<Void> done = mReads.remove(id);
        if (done != null) {
            mCallbacks.execute(() -> done.complete(null));
        }
    }

    void readFailed(long id, LogFailure.Kind kind) {
        CompletableFuture<Void> done = mReads.remove(id);
        if (done != null) {
            fail(done, kind);
        }
    }

    /** Fails all proposals, since their outcome is unknown once leadership has ended. */
    void failProposals() {
        mProposals
                .values()
                .forEach(pending -> fail(pending.done(), LogFailure.Kind.OUTCOME_UNKNOWN));
        mProposals.clear();
    }

    /** Fails all reads, because the log has stopped. */
    void failReads() {
        mReads.values().forEach(done -> fail(done, LogFailure.Kind.STOPPED));
        mReads.clear();
    }

    void fail(CompletableFuture<?> done, LogFailure.Kind kind) {
        mCallbacks.execute(() -> done.completeExceptionally(LogFailure.of(kind)));
    }
}
