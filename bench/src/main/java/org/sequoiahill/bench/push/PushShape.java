package org.sequoiahill.bench.push;

import java.time.Duration;

/**
 * Sizes of a fleet and of its links that bind a push; rates in bits a second.
 *
 * @param regions regions, the first of which has the origin
 * @param entries entries of all regions
 * @param engines engines of all regions, each with an agent
 * @param pieces pieces of a version
 * @param pieceBits bits of a piece
 * @param originRate rate of the origin's link
 * @param originConnections connections that the origin takes
 * @param entryRate rate of an entry's link, in each direction
 * @param agentRate rate of an agent's link
 * @param interRegionRate rate between two regions, in each direction
 * @param maxVersionAge time until a version may no longer be older
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

    /** Part of each link that requests and answers leave to pieces. */
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
