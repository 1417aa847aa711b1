package org.sequoiahill.daemon.process;

import java.util.List;
import org.sequoiahill.daemon.process.settings.HostPort;

/** Says which stores to ask first; settings files change while a daemon runs. */
@FunctionalInterface
public interface SeedSource {
    /** Returns the control addresses of the seeds as of now. */
    List<HostPort> seeds();
}
