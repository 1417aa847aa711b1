package org.sequoiahill.bench.admission;

/** Decides when and on which engine the requests of a simulated load run. */
interface Scheduler {
    /** Accepts a request at the moment of its arrival. */
    void submit(RequestOutcome request);
}
