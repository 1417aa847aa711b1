package org.sequoiahill.daemon.version.cache;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** Decides which versions leave the cache so that another fits. */
public final class EvictionPlanner {
    private EvictionPlanner() {}

    /**
     * A version in the cache.
     *
     * @param digest digest of its manifest
     * @param bytes size of its files
     * @param lastUse rises with each use
     */
    public record CachedVersion(String digest, long bytes, long lastUse) {}

    /**
     * What is to be done.
     *
     * @param fits whether the new version fits after the eviction
     * @param evicted versions that leave, in this order; empty where the new one does not fit
     */
    public record Plan(boolean fits, List<String> evicted) {}

    /**
     * Plans room for a version; the least recently used leave first and the former one last.
     *
     * @param entries versions held, without the new one
     * @param capacity bytes that the cache may hold
     * @param wanted size of the new version
     * @param needed digests that must stay: loaded by the engine, or stated
     * @param former digest that leaves last, for a roll-back
     */
    public static Plan plan(
            List<CachedVersion> entries,
            long capacity,
            long wanted,
            Set<String> needed,
            String former) {
        long used = entries.stream().mapToLong(CachedVersion::bytes).sum();
        List<CachedVersion> candidates = new ArrayList<>(entries);
        candidates.removeIf(entry -> needed.contains(entry.digest()));
        candidates.sort(
                Comparator.comparing((CachedVersion entry) -> entry.digest().equals(former))
                        .thenComparingLong(CachedVersion::lastUse));
        List<String> evicted = new ArrayList<>();
        for (CachedVersion entry : candidates) {
            if (used + wanted <= capacity) {
                break;
            }
            evicted.add(entry.digest());
            used -= entry.bytes();
        }
        boolean fits = used + wanted <= capacity;
        return new Plan(fits, fits ? List.copyOf(evicted) : List.of());
    }
}
