package org.sequoiahill.bench.faults;

import java.util.Set;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.processes.Deployment;

/**
 * A failure that is caused under load while a new version is pushed.
 *
 * @param name name on the command line
 * @param description what fails
 * @param excused verdicts that this failure may cause, such as responses cut by a killed entry
 * @param injector causes the failure and repairs the deployment
 */
public record FaultCase(
        String name, String description, Set<Verdict> excused, FaultInjector injector) {
    /** Causes a failure in a deployment. */
    @FunctionalInterface
    public interface FaultInjector {
        /** Causes the failure, then restarts or resumes everything that it stopped. */
        void inject(Deployment deployment) throws Exception;
    }
}
