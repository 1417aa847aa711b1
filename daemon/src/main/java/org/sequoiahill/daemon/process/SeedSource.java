package org.sequoiahill.daemon.process;

import java.util.List;
import org.sequoiahill.daemon.process.settings.HostPort;

/** Supplies the stores to contact first; settings files may change while a daemon runs. */
@FunctionalInterface
public interface SeedSource {
    /** Returns the current control addresses of the seeds. */
    List<HostPort> seeds();
}
