package org.sequoiahill.daemon.version.fetch;

/** Where a chunk may be fetched from. */
public sealed interface Source {
    /** The origin of the weights. */
    record Origin() implements Source {}

    /**
     * Another agent.
     *
     * @param member the agent
     * @param canWait whether the agent is asked to delay its response until it holds the chunk
     */
    record Peer(FetchMember member, boolean canWait) implements Source {}
}
