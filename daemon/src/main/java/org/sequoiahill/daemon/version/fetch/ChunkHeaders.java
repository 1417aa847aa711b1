package org.sequoiahill.daemon.version.fetch;

/** Names of the headers of chunk requests between agents. */
final class ChunkHeaders {
    /** Address of the requesting agent, so that later requesters can be redirected to it. */
    static final String REQUESTER = "Sequoia-Chunk-Asker";

    /** Addresses of agents that hold the chunk, in a redirect response. */
    static final String HOLDERS = "Sequoia-Chunk-Holders";

    /** How often the requester has been redirected for this chunk. */
    static final String REDIRECTS = "Sequoia-Chunk-Redirects";

    /** Milliseconds that the requester waits until the agent can send the chunk. */
    static final String WAIT = "Sequoia-Chunk-Wait-Millis";

    /** Bytes of chunks that the responding agent has received so far, in a 404 response. */
    static final String PROGRESS = "Sequoia-Chunk-Progress";

    private ChunkHeaders() {}
}
