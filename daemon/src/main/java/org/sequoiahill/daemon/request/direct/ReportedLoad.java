package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.sequoiahill.daemon.process.settings.HostPort;

/**
 * Load of an engine as its agent saw it.
 *
 * @param engine address of the engine
 * @param requests requests that ran and waited there
 * @param reportedAt monotonic time of this daemon at which the engine reported it
 */
public record ReportedLoad(HostPort engine, int requests, Duration reportedAt) {}
