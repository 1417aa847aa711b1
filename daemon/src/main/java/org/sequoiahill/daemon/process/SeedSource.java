package org.sequoiahill.daemon.process;

import java.util.List;
import org.sequoiahill.daemon.process.settings.HostPort;

/**
 * Supplies the seeds: the stores that a daemon contacts first. They can change while the daemon
 * runs, since its settings file may be loaded again.
 */
@FunctionalInterface
public interface SeedSource {
    /** Returns the current control addresses of the seeds. */
    List<HostPort> seeds();
}
