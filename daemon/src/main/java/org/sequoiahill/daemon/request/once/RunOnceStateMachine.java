package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimStatus;

/**
 * State machine of one attempt at a request that must run at most once: claims the request, sends
 * it and determines its outcome.
 *
 * <p>The request is sent only while this entry's attempt holds the committed claim. If another
 * attempt holds it, the agent named in the claim must first bar that attempt or report its state.
 * This class never blocks and does no I/O; each event yields the next action.
 */
public final class RunOnceStateMachine {
    private static final Duration FIRST_WAIT = Duration.ofMillis(25);
    private static final Duration LONGEST_WAIT = Duration.ofMillis(400);

    private final ClaimHolder mOwn;
    private final MonotonicClock mClock;
    private final Duration mDeadline;
    private ClaimHolder mHolder;
    private Optional<RecordedResponse> mResponse = Optional.empty();
    private Duration mWait = FIRST_WAIT;
    private boolean mIsSent;
    private RunOnceAction mLastAction;

    private RunOnceStateMachine(ClaimHolder own, MonotonicClock clock, Duration deadline) {
        mOwn = own;
        mHolder = own;
        mClock = clock;
        mDeadline = deadline;
        mLastAction = new RunOnceAction.LookUp();
    }

    /**
     * Returns a state machine for one attempt; {@link #begin} returns its first action.
     *
     * @param own the attempt, whose number was never used before
     * @param clock monotonic clock
     * @param deadline monotonic time after which it refuses the request instead of waiting
     */
    public static RunOnceStateMachine of(ClaimHolder own, MonotonicClock clock, Duration deadline) {
        return new RunOnceStateMachine(own, clock, deadline);
    }

    /** Returns the first action. */
    public RunOnceAction begin() {
        return remember(claim());
    }

    /** Processes the result of the last action and returns the next action. */
    public RunOnceAction on(RunOnceEvent event) {
        return remember(next(event));
    }

    private RunOnceAction remember(RunOnceAction action) {
        mLastAction = action;
        return action;
    }

    private RunOnceAction next(RunOnceEvent event) {
        if (event instanceof RunOnceEvent.RegistryReplied arrived) {
            return onRegistryReply(arrived.reply());
        } else if (event instanceof RunOnceEvent.RegistryUnavailable) {
            return onRegistryUnavailable();
        } else if (event instanceof RunOnceEvent.ResponseReceived arrived) {
            return complete(Optional.of(arrived.response()));
        } else if (event instanceof RunOnceEvent.RefusedNotRun) {
            return new RunOnceAction.Release(mOwn);
        } else if (event instanceof RunOnceEvent.ResponseLost) {
            return new RunOnceAction.Bar(mOwn);
        } else if (event instanceof RunOnceEvent.BarReplied arrived) {
            return onBarVerdict(arrived.verdict());
        } else if (event instanceof RunOnceEvent.AgentUnreachable) {
            return waitOrRefuse(RunOnceRefusal.OUTCOME_PENDING);
        }
        return new RunOnceAction.LookUp();
    }

    private RunOnceAction onRegistryReply(ClaimReply reply) {
        if (reply.getStatus() == ClaimStatus.UNAVAILABLE) {
            return onRegistryUnavailable();
        } else if (mLastAction instanceof RunOnceAction.Claim) {
            return onClaimed(reply);
        } else if (mLastAction instanceof RunOnceAction.LookUp) {
            return onClaimRecord(reply);
        } else if (mLastAction instanceof RunOnceAction.Release) {
            return onUnclaimed();
        }
        return onCompleted(reply);
    }

    /**
     * Decides without the registry's reply. The registry may still execute the last operation
     * later, so the decision must be right whether or not it does.
     */
    private RunOnceAction onRegistryUnavailable() {
        if (mLastAction instanceof RunOnceAction.LookUp) {
            return new RunOnceAction.Bar(mHolder);
        } else if (mLastAction instanceof RunOnceAction.Complete) {
            return finish();
        } else if (mIsSent) {
            return new RunOnceAction.NotRun();
        }
        return new RunOnceAction.Refuse(RunOnceRefusal.NO_MAJORITY);
    }

    private RunOnceAction claim() {
        mHolder = mOwn;
        return new RunOnceAction.Claim(mOwn);
    }

    /** Sends the request, as this attempt has just obtained the claim. */
    private RunOnceAction send() {
        mIsSent = true;
        return new RunOnceAction.Send(mOwn);
    }

    private RunOnceAction onClaimed(ClaimReply reply) {
        if (reply.getStatus() == ClaimStatus.CLAIMED && holderOf(reply).equals(mOwn)) {
            return send();
        }
        return onClaimRecord(reply);
    }

    private RunOnceAction onClaimRecord(ClaimReply reply) {
        return switch (reply.getStatus()) {
            case CLAIMED, HELD -> {
                mHolder = holderOf(reply);
                yield new RunOnceAction.Bar(mHolder);
            }
            case COMPLETED -> replay(reply);
            case OUTCOME_UNKNOWN -> new RunOnceAction.Refuse(RunOnceRefusal.OUTCOME_UNKNOWN);
            case MISMATCH -> new RunOnceAction.Refuse(RunOnceRefusal.CONTENT_MISMATCH);
            case EXPIRED -> new RunOnceAction.Refuse(RunOnceRefusal.KEY_EXPIRED);
            default -> onUnclaimed();
        };
    }

    /**
     * Continues when no attempt holds the claim. If this attempt was sent, its claim was released,
     * so it has not run and never will.
     */
    private RunOnceAction onUnclaimed() {
        return mIsSent ? new RunOnceAction.NotRun() : claim();
    }

    private RunOnceAction onBarVerdict(BarVerdict verdict) {
        if (verdict instanceof BarVerdict.Barred) {
            return new RunOnceAction.Release(mHolder);
        } else if (verdict instanceof BarVerdict.Done done) {
            return complete(Optional.of(done.response()));
        } else if (verdict instanceof BarVerdict.Running) {
            return waitOrRefuse(RunOnceRefusal.OUTCOME_PENDING);
        }
        return complete(Optional.empty());
    }

    private RunOnceAction complete(Optional<RecordedResponse> response) {
        mResponse = response;
        return new RunOnceAction.Complete(mHolder, response);
    }

    private RunOnceAction onCompleted(ClaimReply reply) {
        if (reply.getStatus() == ClaimStatus.COMPLETED && reply.getOutcome() != null) {
            return replay(reply);
        }
        return finish();
    }

    /** Ends with the outcome that this entry knows, whether or not the registry recorded it. */
    private RunOnceAction finish() {
        return mResponse
                .<RunOnceAction>map(a -> new RunOnceAction.Answer(a, !isOwn()))
                .orElse(new RunOnceAction.Refuse(RunOnceRefusal.OUTCOME_UNKNOWN));
    }

    private RunOnceAction replay(ClaimReply reply) {
        RecordedResponse recorded = RecordedResponse.of(reply.getOutcome());
        boolean isReplay = !isOwn() || !mIsSent;
        return new RunOnceAction.Answer(recorded, isReplay);
    }

    private RunOnceAction waitOrRefuse(RunOnceRefusal refusal) {
        if (mClock.now().compareTo(mDeadline) >= 0) {
            return new RunOnceAction.Refuse(refusal);
        }
        Duration time = mWait;
        Duration next = mWait.multipliedBy(2);
        mWait = next.compareTo(LONGEST_WAIT) < 0 ? next : LONGEST_WAIT;
        return new RunOnceAction.Wait(time);
    }

    private boolean isOwn() {
        return mHolder.equals(mOwn);
    }

    private static ClaimHolder holderOf(ClaimReply reply) {
        return new ClaimHolder(
                reply.getAttempt(),
                new AgentProcess(reply.getAgentVm(), reply.getAgentIncarnation()));
    }
}
