package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.connection.ByteBudget;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.HttpForwarder;

/**
 * What the requests of one entry share.
 *
 * @param dialect names of headers
 * @param dispatcher gives places at endpoints
 * @param repeats bounds the repeats of requests
 * @param forwarder sends to endpoints
 * @param exchanges requests that run
 * @param answerBytes bounds the bytes of answers that are not whole yet
 * @param log tells what became of requests
 * @param clock monotonic clock
 */
public record DirectServices(
        CallerDialect dialect,
        Dispatcher dispatcher,
        RepeatBudgets repeats,
        HttpForwarder forwarder,
        RunningExchanges exchanges,
        ByteBudget answerBytes,
        RequestLog log,
        MonotonicClock clock) {}
