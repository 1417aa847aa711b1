package org.sequoiahill.bench.processes;

/** Which daemons of a deployment share a process, so that large deployments fit one VM. */
public enum Hosting {
    /** Every daemon is a process of its own. */
    SEPARATE,
    /** All agents share a process; entries have their own. */
    AGENTS_TOGETHER,
    /** All agents share a process, and so do all entries that are no stores. */
    TOGETHER
}
