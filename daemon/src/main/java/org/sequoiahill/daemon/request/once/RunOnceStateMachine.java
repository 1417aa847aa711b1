package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimStatus;

/**
 * Decides about one attempt at a call that may run once: from its claim, over its sending, to its
 * outcome.
 *
 * <p>The call is sent only under this entry's own committed claim. A claim held by another attempt
 * is first resolved at the agent that it names: that agent bars the attempt or tells what became of
 * it. Nothing here waits or does I/O; each event yields the next action.
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
     * Returns a machine for one attempt; its first action is {@link #begin}.
     *
     * @param own the attempt, which nobody has used before
     * @param clock monotonic clock
     * @param deadline time of the clock after which nothing is waited for
     */
    public static RunOnceStateMachine of(ClaimHolder own, MonotonicClock clock, Duration deadline) {
        return new RunOnceStateMachine(own, clock, deadline);
    }

    /** Returns the first action. */
    public RunOnceAction begin() {
        return remember(claim());
    }

    /** Takes the event that the last action has brought, and returns the next action. */
    public RunOnceAction on(RunOnceEvent event) {
        return remember(next(event));
    }

    private RunOnceAction remember(RunOnceAction action) {
        mLastAction = action;
        return action;
    }

    private RunOnceAction next(RunOnceEvent event) {
        if (event instanceof RunOnceEvent.RegistryReplied answered) {
            return onRegistryReply(answered.reply());
        } else if (event instanceof RunOnceEvent.RegistryUnavailable) {
            return onRegistryUnavailable();
        } else if (event instanceof RunOnceEvent.ResponseReceived answered) {
            return complete(Optional.of(answered.answer()));
        } else if (event instanceof RunOnceEvent.RefusedNotRun) {
            return new RunOnceAction.Release(mOwn);
        } else if (event instanceof RunOnceEvent.ResponseLost) {
            return new RunOnceAction.Bar(mOwn);
        } else if (event instanceof RunOnceEvent.BarReplied answered) {
            return onBarVerdict(answered.verdict());
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

    /** What was asked of the registry may be carried out later; nothing may rest on it. */
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

    /** Notes that the call goes out, for a claim that has just become this attempt's own. */
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

    /** The key is nobody's: an own attempt that was sent has been barred. */
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

    private RunOnceAction complete(Optional<RecordedResponse> answer) {
        mResponse = answer;
        return new RunOnceAction.Complete(mHolder, answer);
    }

    private RunOnceAction onCompleted(ClaimReply reply) {
        if (reply.getStatus() == ClaimStatus.COMPLETED && reply.getOutcome() != null) {
            return replay(reply);
        }
        return finish();
    }

    /** Ends with what this entry knows, whether or not it is on record. */
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

    private RunOnceAction waitOrRefuse(RunOnceRefusal late) {
        if (mClock.now().compareTo(mDeadline) >= 0) {
            return new RunOnceAction.Refuse(late);
        }
        Duration time = mWait;
        Duration doubled = mWait.multipliedBy(2);
        mWait = doubled.compareTo(LONGEST_WAIT) < 0 ? doubled : LONGEST_WAIT;
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
