package org.sequoiahill.bench.admission;

/** Decides when and where the requests of a played load run. */
interface Scheduler {
    /** Takes a request that has just come. */
    void submit(RequestOutcome request);
}
