package org.sequoiahill.daemon.request.direct;

import java.io.EOFException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.quarantine.QuarantineDecision;
import org.sequoiahill.daemon.request.quarantine.TraitQuarantine;
import org.sequoiahill.daemon.request.quarantine.UnansweredAttempts;

/**
 * One request's dealings with the quarantine: whether it may be sent, and what its attempts show
 * about its traits. Runs in the exchange's invoker.
 */
final class RequestQuarantine {
    /** Events after which an endpoint counts as having survived the beginning of its answer. */
    private static final int EVENTS_OF_SOUND_ANSWER = 2;

    private final TraitQuarantine mQuarantine;
    private final List<String> mTraits;
    private final int mPromptTokens;
    private QuarantineDecision mAdmission = QuarantineDecision.ADMITTED;

    private RequestQuarantine(TraitQuarantine quarantine, List<String> traits, int promptTokens) {
        mQuarantine = quarantine;
        mTraits = traits;
        mPromptTokens = promptTokens;
    }

    static RequestQuarantine of(TraitQuarantine quarantine, DirectRequest request) {
        return new RequestQuarantine(quarantine, RequestTraits.of(request), request.promptTokens());
    }

    List<String> traits() {
        return mTraits;
    }

    /** Returns the refusal of a request that has arrived and must not be sent. */
    Optional<Refusal> admit() {
        mAdmission = mQuarantine.admit(mTraits);
        return mAdmission.isRefused() ? Optional.of(refusal(mAdmission)) : Optional.empty();
    }

    /**
     * Returns the refusal of an admitted request that must not be sent now, or sent again.
     *
     * @param mayHaveRun whether an earlier attempt may have run
     */
    Optional<Refusal> recheck(boolean mayHaveRun) {
        if (isProbe()) {
            return mayHaveRun ? Optional.of(refusal(mAdmission, true)) : Optional.empty();
        }
        QuarantineDecision decision = mQuarantine.recheck(mTraits);
        return decision.isRefused() ? Optional.of(refusal(decision, mayHaveRun)) : Optional.empty();
    }

    /** Records that an attempt is in progress; if its endpoint is silent, it may have died. */
    void onWaiting(EndpointAttempt attempt, Duration now) {
        if (now.minus(attempt.lastReceivedAt()).compareTo(UnansweredAttempts.MAX_SILENCE) > 0) {
            onUnanswered(attempt);
        }
    }

    /** Records that the entry cancels an attempt, which thus remains without an answer. */
    void onCancelled(EndpointAttempt attempt) {
        onUnanswered(attempt);
        onEnded(attempt);
    }

    private void onUnanswered(EndpointAttempt attempt) {
        boolean mayHaveBegun = attempt.connection() != null;
        if (mayHaveBegun && !hasSurelyBegun(attempt)) {
            Optional<String> probedTrait =
                    isProbe() ? Optional.of(mAdmission.trait()) : Optional.empty();
            mQuarantine
                    .unanswered()
                    .add(
                            attempt.key(),
                            attempt.permit().endpoint(),
                            mTraits,
                            probedTrait,
                            attempt.sentAt());
        }
    }

    /** Records that an attempt has ended, answered or not. */
    void onEnded(EndpointAttempt attempt) {
        mQuarantine.unanswered().end(attempt.key(), attempt.permit().endpoint());
    }

    /** Records events of an attempt's stream, which the attempt has counted already. */
    void onEvents(EndpointAttempt attempt, int count) {
        if (hasSurelyBegun(attempt) && attempt.events() - count < EVENTS_OF_SOUND_ANSWER) {
            onAnswered(attempt);
        }
    }

    /** Records that an endpoint has answered. */
    void onAnswered(EndpointAttempt attempt) {
        mQuarantine
                .unanswered()
                .onAnswered(attempt.key(), attempt.permit().endpoint(), attempt.headAt());
        mQuarantine.onAnswered(mTraits, attempt.headAt());
    }

    /** Records that an attempt has failed; has no effect if the entry has cancelled it. */
    void onLost(EndpointAttempt attempt, Throwable failure) {
        if (failure instanceof TimeoutException) {
            onUnanswered(attempt);
            return;
        }
        boolean isClosedByEndpoint =
                failure instanceof EOFException
                        || failure instanceof ClosedChannelException
                        || failure instanceof SocketException;
        if (!isClosedByEndpoint || hasSurelyBegun(attempt)) {
            return;
        }
        mQuarantine.unanswered().remove(attempt.key(), attempt.permit().endpoint());
        mQuarantine.onLost(
                attempt.permit().endpoint(),
                mTraits,
                mPromptTokens,
                attempt.sentAt(),
                attempt.hasHead());
        if (isProbe()) {
            mQuarantine.onProbeFailed(mAdmission.trait());
        }
    }

    private static boolean hasSurelyBegun(EndpointAttempt attempt) {
        return attempt.events() >= EVENTS_OF_SOUND_ANSWER;
    }

    private boolean isProbe() {
        return mAdmission.isProbe();
    }

    private static Refusal refusal(QuarantineDecision decision, boolean mayHaveRun) {
        return mayHaveRun
                ? Refusal.outcomeUnknown("the endpoint sent no complete response")
                : refusal(decision);
    }

    private static Refusal refusal(QuarantineDecision decision) {
        return Refusal.overloaded(
                "quarantined",
                "endpoints crashed on requests with trait " + decision.trait(),
                decision.retryAfter());
    }
}
