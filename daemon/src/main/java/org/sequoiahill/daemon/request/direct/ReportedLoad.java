package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.sequoiahill.daemon.process.settings.HostPort;

/**
 * Load of an engine as reported by its agent.
 *
 * @param engine address of the engine
 * @param requests requests that ran and waited at the engine
 * @param reportedAt time of the engine's report, on this daemon's monotonic clock
 */
public record ReportedLoad(HostPort engine, int requests, Duration reportedAt) {}
