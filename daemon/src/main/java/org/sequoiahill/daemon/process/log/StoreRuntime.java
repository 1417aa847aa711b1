package org.sequoiahill.daemon.process.log;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * What a store runs on.
 *
 * @param clock monotonic clock
 * @param wallClock time of day, for names that must differ from earlier ones
 * @param random source of chance
 * @param traffic counts of control bytes
 * @param timeouts times after which another store counts as unreachable
 */
public record StoreRuntime(
        MonotonicClock clock,
        InstantSource wallClock,
        RandomGenerator random,
        ControlTraffic traffic,
        ControlClient.Timeouts timeouts) {}
