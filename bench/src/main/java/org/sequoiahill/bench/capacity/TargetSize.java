package org.sequoiahill.bench.capacity;

/**
 * The size that the system must support, and what a daemon may use for control at that size.
 *
 * @param endpointsPerDataCentre endpoint VMs in one data centre
 * @param entries total number of entries
 * @param requestsPerSecond requests per second of the whole system
 * @param tokensPerSecond tokens per second of the whole system
 * @param maxControlCores most CPU time that a daemon may use for control, in cores
 * @param maxControlBytesPerSecond most control bytes that a daemon may send and receive per second
 * @param maxResidentBytes most resident memory that a daemon may use, in bytes
 */
public record TargetSize(
        double endpointsPerDataCentre,
        double entries,
        double requestsPerSecond,
        double tokensPerSecond,
        double maxControlCores,
        double maxControlBytesPerSecond,
        double maxResidentBytes) {
    /** Returns the target: in 7 data centres, 290 agents of endpoints and 60 entries. */
    public static TargetSize standard() {
        return new TargetSize(290.0 / 7, 60, 2_300, 840_000, 0.013, 3_000, 256L << 20);
    }
}
