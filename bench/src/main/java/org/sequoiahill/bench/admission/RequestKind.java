package org.sequoiahill.bench.admission;

import java.time.Duration;

/**
 * A kind of request, its latency targets and its worth to callers.
 *
 * @param share fraction of all requests
 * @param firstEventTarget target for the time to the first event
 * @param pauseTarget target for the longest pause between events
 * @param timeout total time that a caller waits, including its retry
 * @param worth worth of an on-time response to a prompt of mean length
 * @param lateWorth worth of a late response to a prompt of mean length
 * @param promptTokens length of prompts in tokens
 * @param events events of a response
 */
record RequestKind(
        double share,
        Duration firstEventTarget,
        Duration pauseTarget,
        Duration timeout,
        double worth,
        double lateWorth,
        SizeDistribution promptTokens,
        SizeDistribution events) {}
