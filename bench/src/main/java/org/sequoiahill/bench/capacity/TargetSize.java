package org.sequoiahill.bench.capacity;

/**
 * The size that the system must support, and the limits on the cost of control there.
 *
 * @param endpointsPerDataCentre endpoint VMs in one data centre
 * @param entries total number of entries
 * @param requestsPerSecond requests per second of the whole system
 * @param tokensPerSecond tokens per second of the whole system
 * @param maxControlCores CPU time of a daemon for control, in cores
 * @param maxControlBytesPerSecond control bytes of a daemon per second
 * @param maxResidentBytes resident memory of a daemon, in bytes
 */
public record TargetSize(
        double endpointsPerDataCentre,
        double entries,
        double requestsPerSecond,
        double tokensPerSecond,
        double maxControlCores,
        double maxControlBytesPerSecond,
        double maxResidentBytes) {
    /** Returns the target: 350 daemons in 7 data centres, of which 290 are agents of endpoints. */
    public static TargetSize standard() {
        return new TargetSize(290.0 / 7, 60, 2_300, 840_000, 0.013, 3_000, 256L << 20);
    }
}
