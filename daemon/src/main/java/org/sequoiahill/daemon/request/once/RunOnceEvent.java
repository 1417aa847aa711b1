package org.sequoiahill.daemon.request.once;

import org.sequoiahill.protocol.gen.ClaimReply;

/** What an entry learns about a call that may run once. */
public sealed interface RunOnceEvent {
    /** The registry has answered what it was asked last. */
    record RegistryReplied(ClaimReply reply) implements RunOnceEvent {}

    /** The registry has not answered. */
    record RegistryUnavailable() implements RunOnceEvent {}

    /** The agent has given the whole answer. */
    record ResponseReceived(RecordedResponse answer) implements RunOnceEvent {}

    /** The agent, or the way to it, has proved that the attempt has not started and never will. */
    record RefusedNotRun() implements RunOnceEvent {}

    /** The call was sent, and no whole answer came. */
    record ResponseLost() implements RunOnceEvent {}

    /** The agent has answered a bar. */
    record BarReplied(BarVerdict verdict) implements RunOnceEvent {}

    /** The agent can't be asked. */
    record AgentUnreachable() implements RunOnceEvent {}

    /** The wait that was asked for is over. */
    record WaitElapsed() implements RunOnceEvent {}
}
