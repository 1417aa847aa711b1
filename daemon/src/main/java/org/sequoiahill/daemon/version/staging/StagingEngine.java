package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

/** An agent's engine; it does not verify staged pieces, and loads whatever is staged. */
public interface StagingEngine {
    /**
     * The state of the engine.
     *
     * @param versions loaded version of each model
     * @param isBusy whether a load order is in progress
     * @param running number of running requests
     * @param waiting number of queued requests
     */
    record Status(Map<String, Long> versions, boolean isBusy, int running, int waiting) {
        /** Copies the map. */
        public Status {
            versions = Map.copyOf(versions);
        }
    }

    /**
     * Returns the current state of the engine.
     *
     * @throws IOException if the engine can't be reached
     */
    Status status() throws IOException;

    /**
     * Stages a piece, replacing the staged piece with the same number.
     *
     * @throws IOException if the engine did not accept it
     */
    void stage(String model, int piece, byte[] content) throws IOException;

    /**
     * Returns a staged piece, which may be corrupt.
     *
     * @throws IOException if the engine can't be reached
     */
    Optional<byte[]> stagedPiece(String model, int piece) throws IOException;

    /**
     * Orders the engine to load the staged pieces as a version; loading starts once its running
     * requests have ended.
     *
     * @return whether the engine has started to carry out the order or has done so already
     * @throws IOException if there was no response; the engine may be carrying out the order
     *     nevertheless
     */
    boolean load(String model, long version) throws IOException;
}
