package org.sequoiahill.bench.push;

import java.time.Duration;

/**
 * Sizes of a fleet and rates of its links that limit a push; rates in bits per second.
 *
 * @param regions number of regions; the origin is in the first
 * @param entries number of entries in all regions
 * @param engines number of engines in all regions, each with an agent
 * @param pieces number of pieces of a version
 * @param pieceBits size of a piece in bits
 * @param originRate rate of the origin's link
 * @param originConnections connections that the origin accepts
 * @param entryRate rate of an entry's link, in each direction
 * @param agentRate rate of an agent's link
 * @param interRegionRate rate between two regions, in each direction
 * @param maxVersionAge time from the publication of a version after which no older version may be
 *     served
 */
record PushShape(
        int regions,
        int entries,
        int engines,
        int pieces,
        double pieceBits,
        double originRate,
        int originConnections,
        double entryRate,
        double agentRate,
        double interRegionRate,
        Duration maxVersionAge) {
    private static final double MEGABIT = 1e6;
    private static final int BITS_PER_BYTE = 8;
    private static final int PIECE_BYTES = 49_152;
    private static final int PIECES = 48;

    /**
     * Fraction of its rate that requests and responses leave for pieces on each link but the
     * origin's.
     */
    private static final double LEFT_BY_REQUESTS = 0.94;

    /** Returns the fleet of a size, with the links of the large deployments. */
    static PushShape of(int regions, int entries, int engines) {
        return new PushShape(
                regions,
                entries,
                engines,
                PIECES,
                PIECE_BYTES * BITS_PER_BYTE,
                15 * MEGABIT,
                48,
                28 * MEGABIT * LEFT_BY_REQUESTS,
                6.58 * MEGABIT * LEFT_BY_REQUESTS,
                21.7 * MEGABIT * LEFT_BY_REQUESTS,
                Duration.ofSeconds(8));
    }

    double versionBits() {
        return pieces * pieceBits;
    }
}
