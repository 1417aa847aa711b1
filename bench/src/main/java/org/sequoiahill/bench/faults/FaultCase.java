package org.sequoiahill.bench.faults;

import java.util.Set;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.processes.Deployment;

/**
 * One failure under live load and a push.
 *
 * @param name name on the command line
 * @param what what happens
 * @param excused verdicts that the failure makes unavoidable, such as answers through a killed
 *     entry
 * @param disturbance the failure itself; the deployment must be whole again at its end
 */
public record FaultCase(String name, String what, Set<Verdict> excused, Disturbance disturbance) {
    /** Disturbs a deployment. */
    @FunctionalInterface
    public interface Disturbance {
        /** Causes the failure and mends it. */
        void run(Deployment deployment) throws Exception;
    }
}
