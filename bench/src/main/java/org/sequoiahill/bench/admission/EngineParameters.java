package org.sequoiahill.bench.admission;

import java.time.Duration;

/**
 * How fast a model engine works.
 *
 * @param slots requests that it works on at once
 * @param queueLimit requests that may wait beside them
 * @param stepMillis least time of a token step, in milliseconds
 * @param stepMillisPerRequest time that each writing request adds to a step, in milliseconds
 * @param stepMillisPerContext time that each thousand tokens of context add to a step, in
 *     milliseconds
 * @param readTokensPerMilli prompt tokens read in a millisecond
 * @param maxStepPromptTokens most prompt tokens read in one step
 * @param stepsPerPass token steps of a pass in which a request writes
 * @param loadTime time to load a staged version
 */
record EngineParameters(
        int slots,
        int queueLimit,
        double stepMillis,
        double stepMillisPerRequest,
        double stepMillisPerContext,
        double readTokensPerMilli,
        int maxStepPromptTokens,
        int stepsPerPass,
        Duration loadTime) {
    /** A dense model of 70 billion parameters on four accelerators. */
    static final EngineParameters DENSE =
            new EngineParameters(16, 32, 7.4, 0.0387, 0.0203, 31.9, 2048, 6, Duration.ofMillis(300));

    /** The same model on less of an accelerator: fewer slots, each slower. */
    static final EngineParameters NARROW =
            new EngineParameters(8, 16, 11.1, 0.058, 0.0305, 21.3, 2048, 6, Duration.ofMillis(300));
}
