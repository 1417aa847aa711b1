package org.sequoiahill.daemon.request.once;

import org.sequoiahill.protocol.gen.ClaimReply;

/** Result of a {@link RunOnceAction}. */
public sealed interface RunOnceEvent {
    /** The registry has replied to the last action. */
    record RegistryReplied(ClaimReply reply) implements RunOnceEvent {}

    /** The registry has not replied. */
    record RegistryUnavailable() implements RunOnceEvent {}

    /** The agent's complete response has arrived. */
    record ResponseReceived(RecordedResponse response) implements RunOnceEvent {}

    /**
     * The attempt has certainly not started and never will: the agent refused it or did not receive
     * it.
     */
    record RefusedNotRun() implements RunOnceEvent {}

    /** The request was sent, and no complete response to the attempt arrived. */
    record ResponseLost() implements RunOnceEvent {}

    /** The agent has replied to a request to bar an attempt. */
    record BarReplied(BarVerdict verdict) implements RunOnceEvent {}

    /** The agent has not replied to a request to bar an attempt. */
    record AgentUnreachable() implements RunOnceEvent {}

    /** The requested time has elapsed. */
    record WaitElapsed() implements RunOnceEvent {}
}
