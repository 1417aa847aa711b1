package org.sequoiahill.daemon.version.cache;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** Decides which versions to evict from the cache so that another one fits. */
public final class EvictionPlanner {
    private EvictionPlanner() {}

    /**
     * A version in the cache.
     *
     * @param digest digest of its manifest
     * @param bytes size of its files
     * @param lastUse increases with each use; the smallest is the least recently used
     */
    public record CachedVersion(String digest, long bytes, long lastUse) {}

    /**
     * The result of planning.
     *
     * @param fits whether the new version fits after the eviction
     * @param evicted versions to evict, in this order; empty if the new one does not fit
     */
    public record Plan(boolean fits, List<String> evicted) {}

    /**
     * Plans the evictions for a version: the least recently used first, and the former version
     * last.
     *
     * @param entries versions in the cache, without the new one
     * @param capacity maximum size of the cache in bytes
     * @param required size of the new version in bytes
     * @param pinned digests of the versions that must not be evicted: the served, the last ordered
     *     and the configured one
     * @param former digest of the version that is evicted last, to allow a roll-back
     */
    public static Plan plan(
            List<CachedVersion> entries,
            long capacity,
            long required,
            Set<String> pinned,
            String former) {
        long used = entries.stream().mapToLong(CachedVersion::bytes).sum();
        List<CachedVersion> candidates = new ArrayList<>(entries);
        candidates.removeIf(entry -> pinned.contains(entry.digest()));
        candidates.sort(
                Comparator.comparing((CachedVersion entry) -> entry.digest().equals(former))
                        .thenComparingLong(CachedVersion::lastUse));
        List<String> evicted = new ArrayList<>();
        for (CachedVersion entry : candidates) {
            if (used + required <= capacity) {
                break;
            }
            evicted.add(entry.digest());
            used -= entry.bytes();
        }
        boolean fits = used + required <= capacity;
        return new Plan(fits, fits ? List.copyOf(evicted) : List.of());
    }
}
