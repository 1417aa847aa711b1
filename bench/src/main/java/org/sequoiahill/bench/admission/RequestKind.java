package org.sequoiahill.bench.admission;

import java.time.Duration;

/**
 * What callers ask for, and what it is worth to them.
 *
 * @param share part of all requests
 * @param firstEventTarget time to the first event that callers want
 * @param pauseTarget longest pause between events that callers want
 * @param timeout time that a caller waits in all
 * @param worth worth of an answer on time
 * @param lateWorth worth of a late answer
 * @param promptTokens length of prompts in tokens
 * @param events events of an answer
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
