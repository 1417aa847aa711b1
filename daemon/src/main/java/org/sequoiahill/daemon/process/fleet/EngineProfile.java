package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;

/**
 * Capacity and speed of the model engines of a service.
 *
 * @param model name of the model
 * @param slots maximum number of concurrent requests
 * @param memoryTokens tokens that fit in the key-value cache
 * @param stepTime minimum duration of a decoding step
 * @param stepTimePerRequest additional duration of a step for each running request
 * @param prefillRate prompt tokens processed per second
 * @param stride decoding steps per pass
 * @param pieces number of pieces in a version of the weights
 * @param pieceBytes size of a piece in bytes
 * @param warmUp time to load a staged version
 */
public record EngineProfile(
        String model,
        int slots,
        long memoryTokens,
        Duration stepTime,
        Duration stepTimePerRequest,
        double prefillRate,
        int stride,
        int pieces,
        int pieceBytes,
        Duration warmUp) {}
