package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

/** The engine beside an agent: it keeps staged pieces unchecked and loads what lies there. */
public interface StagingEngine {
    /**
     * What the engine does.
     *
     * @param versions loaded version of each model
     * @param isBusy whether an order is being carried out
     * @param running requests that run
     * @param waiting requests that wait
     */
    record Status(Map<String, Long> versions, boolean isBusy, int running, int waiting) {
        /** Copies the map. */
        public Status {
            versions = Map.copyOf(versions);
        }
    }

    /**
     * Returns what the engine does now.
     *
     * @throws IOException where the engine can't be reached
     */
    Status status() throws IOException;

    /**
     * Stages a piece in place of the one with its number.
     *
     * @throws IOException where the engine didn't take it
     */
    void stage(String model, int piece, byte[] content) throws IOException;

    /**
     * Returns a staged piece, which may have turned bad.
     *
     * @throws IOException where the engine can't be reached
     */
    Optional<byte[]> stagedPiece(String model, int piece) throws IOException;

    /**
     * Orders the engine to load what is staged as a version, once its running requests have ended.
     *
     * @return whether the order has begun or is in effect
     * @throws IOException where no answer came; the order may have begun all the same
     */
    boolean load(String model, long version) throws IOException;
}
