package org.sequoiahill.daemon.request.once;

import org.sequoiahill.protocol.gen.ClaimReply;

/** What an entry learns about a call that may run once. */
public sealed interface RunOnceEvent {
    /** The registry has answered what it was asked last. */
    record RegistryAnswered(ClaimReply reply) implements RunOnceEvent {}

    /** The registry has not answered. */
    record RegistryLost() implements RunOnceEvent {}

    /** The agent has given the whole answer. */
    record Answered(RecordedAnswer answer) implements RunOnceEvent {}

    /** The agent, or the way to it, has proved that the attempt has not started and never will. */
    record RefusedNotRun() implements RunOnceEvent {}

    /** The call was sent, and no whole answer came. */
    record CallLost() implements RunOnceEvent {}

    /** The agent has answered a bar. */
    record BarAnswered(BarVerdict verdict) implements RunOnceEvent {}

    /** The agent can't be asked. */
    record AgentUnreachable() implements RunOnceEvent {}

    /** The wait that was asked for is over. */
    record WaitOver() implements RunOnceEvent {}
}
