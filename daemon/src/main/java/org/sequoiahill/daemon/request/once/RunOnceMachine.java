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
public final class RunOnceMachine {
    private static final Duration FIRST_WAIT = Duration.ofMillis(25);
    private static final Duration LONGEST_WAIT = Duration.ofMillis(400);

    private final Holder mOwn;
    private final MonotonicClock mClock;
    private final Duration mDeadline;
    private Holder mHolder;
    private Optional<RecordedAnswer> mAnswer = Optional.empty();
    private Duration mWait = FIRST_WAIT;
    private boolean mIsSent;
    private RunOnceAction mLast;

    private RunOnceMachine(Holder own, MonotonicClock clock, Duration deadline) {
        mOwn = own;
        mHolder = own;
        mClock = clock;
        mDeadline = deadline;
        mLast = new RunOnceAction.LookUp();
    }

    /**
     * Returns a machine for one attempt; its first action is {@link #begin}.
     *
     * @param own the attempt, which nobody has used before
     * @param clock monotonic clock
     * @param deadline time of the clock after which nothing is waited for
     */
    public static RunOnceMachine of(Holder own, MonotonicClock clock, Duration deadline) {
        return new RunOnceMachine(own, clock, deadline);
    }

    /** Returns the first action. */
    public RunOnceAction begin() {
        return follow(claim());
    }

    /** Takes the event that the last action has brought, and returns the next action. */
    public RunOnceAction on(RunOnceEvent event) {
        return follow(next(event));
    }

    private RunOnceAction follow(RunOnceAction action) {
        mLast = action;
        return action;
    }

    private RunOnceAction next(RunOnceEvent event) {
        if (event instanceof RunOnceEvent.RegistryAnswered answered) {
            return onRegistry(answered.reply());
        } else if (event instanceof RunOnceEvent.RegistryLost) {
            return onRegistryLost();
        } else if (event instanceof RunOnceEvent.Answered answered) {
            return complete(Optional.of(answered.answer()));
        } else if (event instanceof RunOnceEvent.RefusedNotRun) {
            return new RunOnceAction.Release(mOwn);
        } else if (event instanceof RunOnceEvent.CallLost) {
            return new RunOnceAction.Bar(mOwn);
        } else if (event instanceof RunOnceEvent.BarAnswered answered) {
            return onBar(answered.verdict());
        } else if (event instanceof RunOnceEvent.AgentUnreachable) {
            return waitOr(RunOnceRefusal.OUTCOME_PENDING);
        }
        return new RunOnceAction.LookUp();
    }

    private RunOnceAction onRegistry(ClaimReply reply) {
        if (reply.getStatus() == ClaimStatus.UNAVAILABLE) {
            return onRegistryLost();
        } else if (mLast instanceof RunOnceAction.Claim) {
            return onClaimed(reply);
        } else if (mLast instanceof RunOnceAction.LookUp) {
            return onRecord(reply);
        } else if (mLast instanceof RunOnceAction.Release) {
            return onFree();
        }
        return onRecorded(reply);
    }

    /** What was asked of the registry may be carried out later; nothing may rest on it. */
    private RunOnceAction onRegistryLost() {
        if (mLast instanceof RunOnceAction.LookUp) {
            return new RunOnceAction.Bar(mHolder);
        } else if (mLast instanceof RunOnceAction.Complete) {
            return end();
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
        return onRecord(reply);
    }

    private RunOnceAction onRecord(ClaimReply reply) {
        return switch (reply.getStatus()) {
            case CLAIMED, HELD -> {
                mHolder = holderOf(reply);
                yield new RunOnceAction.Bar(mHolder);
            }
            case COMPLETED -> answer(reply);
            case OUTCOME_UNKNOWN -> new RunOnceAction.Refuse(RunOnceRefusal.OUTCOME_UNKNOWN);
            case MISMATCH -> new RunOnceAction.Refuse(RunOnceRefusal.CONTENT_MISMATCH);
            case EXPIRED -> new RunOnceAction.Refuse(RunOnceRefusal.KEY_EXPIRED);
            default -> onFree();
        };
    }

    /** The key is nobody's: an own attempt that was sent has been barred. */
    private RunOnceAction onFree() {
        return mIsSent ? new RunOnceAction.NotRun() : claim();
    }

    private RunOnceAction onBar(BarVerdict verdict) {
        if (verdict instanceof BarVerdict.Barred) {
            return new RunOnceAction.Release(mHolder);
        } else if (verdict instanceof BarVerdict.Done done) {
            return complete(Optional.of(done.answer()));
        } else if (verdict instanceof BarVerdict.Running) {
            return waitOr(RunOnceRefusal.OUTCOME_PENDING);
        }
        return complete(Optional.empty());
    }

    private RunOnceAction complete(Optional<RecordedAnswer> answer) {
        mAnswer = answer;
        return new RunOnceAction.Complete(mHolder, answer);
    }

    private RunOnceAction onRecorded(ClaimReply reply) {
        if (reply.getStatus() == ClaimStatus.COMPLETED && reply.getOutcome() != null) {
            return answer(reply);
        }
        return end();
    }

    /** Ends with what this entry knows, whether or not it is on record. */
    private RunOnceAction end() {
        return mAnswer.<RunOnceAction>map(a -> new RunOnceAction.Answer(a, !isOwn()))
                .orElse(new RunOnceAction.Refuse(RunOnceRefusal.OUTCOME_UNKNOWN));
    }

    private RunOnceAction answer(ClaimReply reply) {
        RecordedAnswer recorded = RecordedAnswer.of(reply.getOutcome());
        boolean isReplay = !isOwn() || !mIsSent;
        return new RunOnceAction.Answer(recorded, isReplay);
    }

    private RunOnceAction waitOr(RunOnceRefusal late) {
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

    private static Holder holderOf(ClaimReply reply) {
        return new Holder(
                reply.getAttempt(),
                new AgentProcess(reply.getAgentVm(), reply.getAgentIncarnation()));
    }
}
