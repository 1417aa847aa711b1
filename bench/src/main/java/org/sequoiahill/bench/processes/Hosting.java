package org.sequoiahill.bench.processes;

/** Which daemons of a deployment share a process, so that large deployments fit on one VM. */
public enum Hosting {
    /** Each daemon runs in its own process. */
    SEPARATE,
    /** All agents share one process; each entry runs in its own. */
    AGENTS_TOGETHER,
    /** All agents share one process, and all entries that are not stores share another. */
    TOGETHER
}
