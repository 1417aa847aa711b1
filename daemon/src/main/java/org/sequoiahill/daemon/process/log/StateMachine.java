package org.sequoiahill.daemon.process.log;

/** State that is made by applying committed payloads in the order of the log. */
public interface StateMachine {
    /**
     * Applies one committed payload; must depend on nothing but the state and the payload.
     *
     * @param index index in the log, always rising, not always by one
     * @param payload what was proposed
     */
    void apply(long index, byte[] payload);

    /** Returns the whole state after the last applied payload. */
    byte[] snapshot();

    /** Replaces the whole state by one that {@link #snapshot} has returned. */
    void restore(byte[] snapshot);
}
