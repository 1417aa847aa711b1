package org.sequoiahill.daemon.version.staging;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Through which entries the pieces of a version reach the agents.
 *
 * <p>Links of endpoint VMs are narrow and carry answers, those of entry VMs are wide. So the pieces
 * go round all entries, each of which draws its part from the origin; in each other region one
 * entry gets a piece from the one that drew it, and the agents of a region get it from there. A
 * piece leaves the origin once and crosses between two regions once, and an agent's link carries
 * nothing but its own copy.
 */
public final class PiecePlan {
    private final List<String> mEntries;
    private final Map<String, String> mRegions;
    private final Map<String, List<String>> mEntriesByRegion = new TreeMap<>();

    private PiecePlan(Map<String, String> regions) {
        mRegions = Map.copyOf(regions);
        mEntries = regions.keySet().stream().sorted().toList();
        for (String entry : mEntries) {
            mEntriesByRegion
                    .computeIfAbsent(regionOf(entry), region -> new ArrayList<>())
                    .add(entry);
        }
    }

    /**
     * Returns a plan.
     *
     * @param regions region of each entry
     */
    public static PiecePlan over(Map<String, String> regions) {
        return new PiecePlan(regions);
    }

    /** Returns the entry that draws a piece from the origin. */
    public Optional<String> drawer(int piece) {
        return mEntries.isEmpty()
                ? Optional.empty()
                : Optional.of(mEntries.get(piece % mEntries.size()));
    }

    /**
     * Returns the entry that gives a piece to the agents of a region.
     *
     * @param failures how often the piece did not come; another entry is named after each
     */
    public Optional<String> supplier(String region, int piece, int failures) {
        List<String> near = mEntriesByRegion.getOrDefault(region, mEntries);
        if (near.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> drawer = drawer(piece);
        if (failures == 0 && drawer.filter(near::contains).isPresent()) {
            return drawer;
        }
        return Optional.of(near.get((piece + failures) % near.size()));
    }

    private String regionOf(String entry) {
        return mRegions.getOrDefault(entry, "");
    }
}
