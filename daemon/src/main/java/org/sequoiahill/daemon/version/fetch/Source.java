package org.sequoiahill.daemon.version.fetch;

/** Where a chunk may be drawn from. */
public sealed interface Source {
    /** The origin of weights. */
    record Origin() implements Source {}

    /**
     * Another agent.
     *
     * @param member the agent
     * @param canWait whether the agent is asked to wait until it holds the chunk
     */
    record Peer(FetchMember member, boolean canWait) implements Source {}
}
