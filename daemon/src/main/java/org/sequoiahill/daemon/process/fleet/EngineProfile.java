package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;

/**
 * What is known of the model engines of a service.
 *
 * @param model name of the model
 * @param slots requests that run at once
 * @param memoryTokens tokens that fit in memory
 * @param stepTime least time of a token step
 * @param stepTimePerRequest time that each running request adds to a step
 * @param readRate prompt tokens read in a second
 * @param stride token steps of one pass
 * @param pieces pieces of a version of the weights
 * @param pieceBytes size of a piece in bytes
 * @param warmUp time to load a version that is staged
 */
public record EngineProfile(
        String model,
        int slots,
        long memoryTokens,
        Duration stepTime,
        Duration stepTimePerRequest,
        double readRate,
        int stride,
        int pieces,
        int pieceBytes,
        Duration warmUp) {}
