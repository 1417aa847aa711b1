package org.sequoiahill.daemon.process.log;

/** State that results from applying committed payloads in log order. */
public interface StateMachine {
    /**
     * Applies a committed payload; the result must depend on the state and the payload only.
     *
     * @param index index in the log; increases, but not always by one
     * @param payload proposed payload
     */
    void apply(long index, byte[] payload);

    /** Returns the complete, serialised state after the last applied payload. */
    byte[] snapshot();

    /** Replaces the complete state by one that {@link #snapshot} has returned. */
    void restore(byte[] snapshot);
}
