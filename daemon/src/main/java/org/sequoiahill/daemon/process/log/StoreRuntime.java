package org.sequoiahill.daemon.process.log;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * Runtime environment of a store.
 *
 * @param clock monotonic clock
 * @param wallClock time of day, which becomes the incarnation of an empty data folder
 * @param random source of randomness
 * @param traffic counters of control traffic
 * @param timeouts timeouts of calls to other stores
 */
public record StoreRuntime(
        MonotonicClock clock,
        InstantSource wallClock,
        RandomGenerator random,
        ControlTraffic traffic,
        ControlClient.Timeouts timeouts) {}
