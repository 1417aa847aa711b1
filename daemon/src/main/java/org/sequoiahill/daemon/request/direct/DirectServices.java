package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.connection.ByteBudget;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.HttpForwarder;

/**
 * What the requests of one entry share.
 *
 * @param headerCodec names of headers
 * @param dispatcher gives places at endpoints
 * @param retryBudgets bounds the repeats of requests
 * @param forwarder sends to endpoints
 * @param activeExchanges requests that run
 * @param bufferedResponseBytes bounds the bytes of answers that are not whole yet
 * @param requestLog tells what became of requests
 * @param clock monotonic clock
 */
public record DirectServices(
        HeaderCodec headerCodec,
        Dispatcher dispatcher,
        ServiceRetryBudgets retryBudgets,
        HttpForwarder forwarder,
        ActiveExchanges activeExchanges,
        ByteBudget bufferedResponseBytes,
        RequestLog requestLog,
        MonotonicClock clock) {}
