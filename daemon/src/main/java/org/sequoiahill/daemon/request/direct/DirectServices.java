package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.quarantine.TraitQuarantine;

/**
 * Dependencies shared by all requests of one entry.
 *
 * @param headerCodec parses and formats headers
 * @param dispatcher grants permits for endpoints
 * @param retryBudgets limits retries
 * @param quarantine refuses requests that crash endpoints
 * @param forwarder sends requests to endpoints
 * @param activeExchanges exchanges in progress
 * @param drainDeadline limits the time of requests while the process stops
 * @param memory limits the bytes of bodies that are held for callers
 * @param requestLog records requests at their end
 * @param clock monotonic clock
 */
public record DirectServices(
        HeaderCodec headerCodec,
        Dispatcher dispatcher,
        ServiceRetryBudgets retryBudgets,
        TraitQuarantine quarantine,
        HttpForwarder forwarder,
        ActiveExchanges activeExchanges,
        DrainDeadline drainDeadline,
        CallerMemory memory,
        RequestLog requestLog,
        MonotonicClock clock) {}
