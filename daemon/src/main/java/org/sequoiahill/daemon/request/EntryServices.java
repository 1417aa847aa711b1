package org.sequoiahill.daemon.request;

import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.admission.AdmissionController;
import org.sequoiahill.daemon.request.retry.RetryBudget;

/**
 * What every request of an entry uses.
 *
 * @param router finds places for attempts
 * @param admission gives requests their turn
 * @param budget bounds retries
 * @param forwarder sends requests on
 * @param hooks what plugs in
 * @param metrics counts what becomes of requests
 * @param clock monotonic clock
 * @param random source of jitter
 * @param scheduler runs what is delayed
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
