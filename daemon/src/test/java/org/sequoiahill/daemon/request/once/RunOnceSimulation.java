package org.sequoiahill.daemon.request.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimStatus;
import org.sequoiahill.protocol.gen.Sender;

/**
 * Simulates the registry, one agent and its endpoint, a ledger, with a fault at a chosen step of an
 * entry.
 */
final class RunOnceSimulation {
    /** A fault at one step of an entry. */
    enum Fault {
        NONE,
        /** The entry dies before the step has any effect. */
        ENTRY_DIES_BEFORE,
        /** The entry dies after the step has had its effect. */
        ENTRY_DIES_AFTER,
        /** The step has no effect and fails. */
        REQUEST_LOST,
        /** The step has its effect, but fails for the entry. */
        REPLY_LOST,
        /** The agent restarts before the step. */
        AGENT_RESTARTS_BEFORE,
        /** The agent restarts after the step, whose reply is lost. */
        AGENT_RESTARTS_AFTER,
        /** The agent restarts while the request runs at the ledger. */
        AGENT_RESTARTS_WITHIN,
        /** Another entry processes a resend while this one is paused before the step. */
        ENTRY_STALLS_BEFORE,
        /** Another entry processes a resend while this one is paused after the step. */
        ENTRY_STALLS_AFTER,
        /** Another entry processes a resend while the request runs at the ledger. */
        RESEND_WITHIN,
        /** The registry has no quorum from this step until the end of the exchange. */
        NO_MAJORITY
    }

    private static final InstantSource WALL_CLOCK = () -> Instant.ofEpochMilli(1);
    private static final String KEY_DIGEST = "0".repeat(64);
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    private final Map<Long, ClaimHolder> mReleased = new HashMap<>();
    private @Nullable ClaimHolder mHolder;
    private @Nullable ClaimReply mFinalRecord;
    private Duration mNow = Duration.ZERO;
    private long mIncarnation = 1;
    private long mNextAttempt = 1;
    private AttemptTable mAgent = newAgent();
    private int mLedgerRuns;

    /** Returns how often the ledger has run the request. */
    int ledgerRuns() {
        return mLedgerRuns;
    }

    private void restartAgent() {
        mIncarnation++;
        mAgent = newAgent();
    }

    /**
     * Result of one exchange.
     *
     * @param action last action of the entry; empty if it died
     * @param ownRuns how often the ledger has run the request for this entry's attempt
     */
    record ExchangeResult(Optional<RunOnceAction> action, int ownRuns) {}

    /**
     * Runs one exchange to its end.
     *
     * @param faultStep step at which the fault occurs, counted from 1; 0 for none
     */
    ExchangeResult exchange(int faultStep, Fault fault) {
        Entry entry = new Entry(faultStep, fault);
        Optional<RunOnceAction> action = entry.run();
        return new ExchangeResult(action, entry.mOwnRuns);
    }

    private AttemptTable newAgent() {
        return AttemptTable.of(mIncarnation, WALL_CLOCK, 100, 1 << 20);
    }

    /** Returns an attempt number with the time of the agent's clock. */
    private static long numberOf(long n) {
        return (1L << 22) | n;
    }

    private ClaimReply reply(ClaimStatus status, @Nullable ClaimHolder holder) {
        ClaimReply reply = new ClaimReply();
        reply.setSender(new Sender("store", "a", 1, 0, 1));
        reply.setStatus(status);
        if (holder != null) {
            reply.setAttempt(holder.attempt());
            reply.setAgentVm(holder.agent().vm());
            reply.setAgentIncarnation(holder.agent().incarnation());
        }
        return reply;
    }

    private ClaimReply record() {
        if (mFinalRecord != null) {
            return mFinalRecord;
        }
        return mHolder == null ? reply(ClaimStatus.FREE, null) : reply(ClaimStatus.HELD, mHolder);
    }

    /** An entry that processes the request once. */
    private final class Entry implements RunOnceOperations {
        private final int mFaultStep;
        private final Fault mFault;
        private final ClaimHolder mOwn;
        private final MonotonicClock mClock = () -> mNow;
        private int mStep;
        private boolean mIsDead;
        private int mOwnRuns;
        private boolean mHasQuorum = true;

        Entry(int faultStep, Fault fault) {
            mFaultStep = faultStep;
            mFault = fault;
            mOwn =
                    new ClaimHolder(
                            numberOf(mNextAttempt++), new AgentProcess("agent", mIncarnation));
        }

        Optional<RunOnceAction> run() {
            RunOnceStateMachine stateMachine =
                    RunOnceStateMachine.of(mOwn, mClock, mNow.plus(DEADLINE));
            RunOnceDriver driver = RunOnceDriver.of(stateMachine, this, mOwn);
            CompletableFuture<RunOnceAction> first = driver.begin();
            if (!(first.getNow(null) instanceof RunOnceAction.Send)) {
                return Optional.ofNullable(first.getNow(null));
            }
            CompletableFuture<RunOnceEvent> sent = send();
            if (mIsDead) {
                return Optional.empty();
            }
            RunOnceEvent event = sent.exceptionally(lost -> new RunOnceEvent.ResponseLost()).join();
            return Optional.ofNullable(driver.settle(event).getNow(null));
        }

        @Override
        public CompletableFuture<ClaimReply> claim(ClaimHolder holder) {
            return registry(
                    () -> {
                        if (mFinalRecord != null) {
                            return mFinalRecord;
                        } else if (mReleased.containsKey(holder.attempt())) {
                            return reply(ClaimStatus.EXPIRED, null);
                        } else if (mHolder == null || mHolder.equals(holder)) {
                            mHolder = holder;
                            return reply(ClaimStatus.CLAIMED, holder);
                        }
                        return record();
                    });
        }

        @Override
        public CompletableFuture<ClaimReply> lookUp(ClaimHolder holder) {
            return registry(RunOnceSimulation.this::record);
        }

        @Override
        public CompletableFuture<ClaimReply> release(ClaimHolder holder) {
            return registry(
                    () -> {
                        mReleased.put(holder.attempt(), holder);
                        if (holder.equals(mHolder)) {
                            mHolder = null;
                        }
                        return record();
                    });
        }

        @Override
        public CompletableFuture<ClaimReply> complete(
                ClaimHolder holder, Optional<RecordedResponse> response) {
            return registry(
                    () -> {
                        if (mFinalRecord == null && holder.equals(mHolder)) {
                            mFinalRecord =
                                    reply(
                                            response.isPresent()
                                                    ? ClaimStatus.COMPLETED
                                                    : ClaimStatus.OUTCOME_UNKNOWN,
                                            holder);
                            response.ifPresent(a -> mFinalRecord.setOutcome(a.toOutcome()));
                        }
                        return record();
                    });
        }

        @Override
        public CompletableFuture<BarVerdict> bar(ClaimHolder holder) {
            return step(() -> mAgent.bar(ticketOf(holder)));
        }

        @Override
        public CompletableFuture<Void> delay(Duration time) {
            mNow = mNow.plus(time);
            return CompletableFuture.completedFuture(null);
        }

        private CompletableFuture<RunOnceEvent> send() {
            return step(
                    () -> {
                        AttemptTicket ticket = ticketOf(mOwn);
                        AttemptTable.StartResult start = mAgent.start(ticket);
                        if (start != AttemptTable.StartResult.STARTED) {
                            return start == AttemptTable.StartResult.ALREADY_STARTED
                                    ? new RunOnceEvent.ResponseLost()
                                    : new RunOnceEvent.RefusedNotRun();
                        }
                        mLedgerRuns++;
                        mOwnRuns++;
                        if (mFault == Fault.AGENT_RESTARTS_WITHIN && mStep == mFaultStep) {
                            restartAgent();
                            return new RunOnceEvent.ResponseLost();
                        }
                        if (mFault == Fault.RESEND_WITHIN && mStep == mFaultStep) {
                            exchange(0, Fault.NONE);
                        }
                        RecordedResponse response = response(mLedgerRuns);
                        mAgent.complete(ticket, response);
                        return new RunOnceEvent.ResponseReceived(response);
                    });
        }

        private CompletableFuture<ClaimReply> registry(Supplier<ClaimReply> effect) {
            return step(() -> mHasQuorum ? effect.get() : reply(ClaimStatus.UNAVAILABLE, null));
        }

        private <T> CompletableFuture<T> step(Supplier<T> effect) {
            mStep++;
            Fault fault = mStep == mFaultStep ? mFault : Fault.NONE;
            switch (fault) {
                case ENTRY_DIES_BEFORE -> mIsDead = true;
                case ENTRY_STALLS_BEFORE -> exchange(0, Fault.NONE);
                case NO_MAJORITY -> mHasQuorum = false;
                case AGENT_RESTARTS_BEFORE -> restartAgent();
                default -> {}
            }
            if (mIsDead) {
                return new CompletableFuture<>();
            }
            if (fault == Fault.REQUEST_LOST) {
                return CompletableFuture.failedFuture(new IllegalStateException("lost"));
            }
            T result = effect.get();
            mIsDead = fault == Fault.ENTRY_DIES_AFTER;
            if (fault == Fault.AGENT_RESTARTS_AFTER) {
                restartAgent();
            }
            if (fault == Fault.ENTRY_STALLS_AFTER) {
                exchange(0, Fault.NONE);
            }
            if (mIsDead) {
                return new CompletableFuture<>();
            }
            boolean isLost = fault == Fault.REPLY_LOST || fault == Fault.AGENT_RESTARTS_AFTER;
            return isLost
                    ? CompletableFuture.failedFuture(new IllegalStateException("lost"))
                    : CompletableFuture.completedFuture(result);
        }

        private AttemptTicket ticketOf(ClaimHolder holder) {
            return new AttemptTicket(holder.agent().incarnation(), holder.attempt(), KEY_DIGEST);
        }
    }

    static RecordedResponse response(int run) {
        byte[] body = ("run " + run).getBytes(StandardCharsets.UTF_8);
        return new RecordedResponse(201, "text/plain", ByteBuffer.wrap(body));
    }
}
