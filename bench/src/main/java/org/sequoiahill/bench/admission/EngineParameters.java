package org.sequoiahill.bench.admission;

import java.time.Duration;

/**
 * Speed and limits of a simulated model engine.
 *
 * @param slots requests that it processes at once
 * @param queueLimit requests that may wait while all slots are taken
 * @param stepMillis duration of a step, in which each decoding request gets one token, without
 *     load, in milliseconds
 * @param stepMillisPerRequest time that each decoding request adds to a step, in milliseconds
 * @param stepMillisPerContext time that each thousand tokens of context add to a step, in
 *     milliseconds
 * @param prefillTokensPerMilli prompt tokens that it prefills per millisecond
 * @param maxStepPromptTokens most prompt tokens prefilled in one step
 * @param stepsPerPass steps of a pass in which at least one request decodes
 * @param loadTime time to load a staged version
 */
record EngineParameters(
        int slots,
        int queueLimit,
        double stepMillis,
        double stepMillisPerRequest,
        double stepMillisPerContext,
        double prefillTokensPerMilli,
        int maxStepPromptTokens,
        int stepsPerPass,
        Duration loadTime) {
    /** A dense model of 70 billion parameters on four accelerators. */
    static final EngineParameters DENSE =
            new EngineParameters(
                    16, 32, 7.4, 0.0387, 0.0203, 31.9, 2048, 6, Duration.ofMillis(300));

    /** The same model on fewer resources: half the slots and queue, slower steps and prefill. */
    static final EngineParameters NARROW =
            new EngineParameters(8, 16, 11.1, 0.058, 0.0305, 21.3, 2048, 6, Duration.ofMillis(300));
}
