package org.sequoiahill.daemon.version.fetch;

/** Names of the headers and parameters of chunk requests between agents. */
final class ChunkHeaders {
    /** Address of the agent that asks, so that later askers can be sent to it. */
    static final String REQUESTER = "Sequoia-Chunk-Asker";

    /** Addresses of agents that hold the chunk, on an answer that sends the asker on. */
    static final String HOLDERS = "Sequoia-Chunk-Holders";

    /** How often the asker has been sent on for this chunk. */
    static final String REDIRECTS = "Sequoia-Chunk-Redirects";

    /** Milliseconds that the asker waits for a chunk that is not held yet. */
    static final String WAIT = "Sequoia-Chunk-Wait-Millis";

    /**
     * Rises with the bytes that the answering agent receives, on an answer that it holds nothing.
     */
    static final String PROGRESS = "Sequoia-Chunk-Progress";

    private ChunkHeaders() {}
}
