package org.sequoiahill.daemon.request;

import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.admission.AdmissionController;
import org.sequoiahill.daemon.request.retry.RetryBudget;

/**
 * Dependencies that all requests of an entry share.
 *
 * @param router chooses targets for attempts
 * @param admission queues requests until an attempt is granted
 * @param budget bounds retries
 * @param forwarder forwards requests
 * @param hooks extension points
 * @param metrics counts results of requests
 * @param clock monotonic clock
 * @param random source of jitter
 * @param scheduler runs delayed tasks
 */
public record EntryServices(
        Router router,
        AdmissionController admission,
        RetryBudget budget,
        HttpForwarder forwarder,
        EntryHooks hooks,
        RequestMetrics metrics,
        MonotonicClock clock,
        RandomGenerator random,
        ScheduledExecutorService scheduler) {}
