package org.sequoiahill.bench.capacity;

/**
 * The size that the system must carry, and what control may cost there.
 *
 * @param endpointsPerDataCentre endpoint VMs in one data centre
 * @param entries entries in all
 * @param requestsPerSecond requests in all
 * @param tokensPerSecond tokens in all
 * @param maxControlCores processor time of a daemon for control, in cores
 * @param maxControlBytesPerSecond control bytes of a daemon
 * @param maxResidentBytes memory of a daemon
 */
public record TargetSize(
        double endpointsPerDataCentre,
        double entries,
        double requestsPerSecond,
        double tokensPerSecond,
        double maxControlCores,
        double maxControlBytesPerSecond,
        double maxResidentBytes) {
    /** Returns the target: 350 daemons, of which 290 stand before endpoints, in 7 data centres. */
    public static TargetSize standard() {
        return new TargetSize(290.0 / 7, 60, 2_300, 840_000, 0.013, 3_000, 256L << 20);
    }
}
