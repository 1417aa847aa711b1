package org.sequoiahill.daemon.request.once;

/** State of an attempt, as reported by an agent that was requested to bar it. */
public sealed interface BarVerdict {
    /** The attempt has never started and never will. */
    record Barred() implements BarVerdict {}

    /** The attempt is running, or the agent's table is too full to bar it. */
    record Running() implements BarVerdict {}

    /** The attempt has completed with this response. */
    record Done(RecordedResponse response) implements BarVerdict {}

    /** The attempt has started, and its outcome is unknown. */
    record Lost() implements BarVerdict {}

    /** The attempt is outside the agent's time window, so its record may have been evicted. */
    record Forgotten() implements BarVerdict {}

    /** The attempt was sent to another process of the agent. */
    record OtherIncarnation() implements BarVerdict {}
}
