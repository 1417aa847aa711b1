package org.sequoiahill.daemon.request.once;

/** What an agent says of an attempt that it was asked to bar. */
public sealed interface BarVerdict {
    /** The attempt has never started and never will. */
    record Barred() implements BarVerdict {}

    /** The attempt is running. */
    record Running() implements BarVerdict {}

    /** The attempt has ended with this answer. */
    record Done(RecordedResponse response) implements BarVerdict {}

    /** The attempt has started, and what became of it can't be known. */
    record Lost() implements BarVerdict {}

    /** The attempt is older than what the agent remembers. */
    record Forgotten() implements BarVerdict {}

    /** The attempt was meant for an earlier run of the agent, which has ended. */
    record OtherIncarnation() implements BarVerdict {}
}
