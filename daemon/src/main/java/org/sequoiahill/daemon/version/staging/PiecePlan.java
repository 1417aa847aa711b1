package org.sequoiahill.daemon.version.staging;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Through which entries the pieces of a version reach the agents.
 *
 * <p>Links of endpoint VMs are narrow and carry answers, those of entry VMs are wide. So the pieces
 * go round entries that draw them from the origin; in each other region one entry gets a piece from
 * the one that drew it, and the agents of a region get it from there. A piece leaves the origin
 * once and crosses between two regions once, and an agent's link carries nothing but its own copy.
 *
 * <p>Few entries draw, so that pieces come early one after the other rather than all at the end,
 * and the origin has connections left for those who find no entry.
 */
public final class PiecePlan {
    /** Part of the origin's connections on which entries draw. */
    private static final int CONNECTIONS_PER_FETCHING_ENTRY = 4;

    private final List<String> mFetchingEntries;
    private final List<String> mEntries;
    private final Map<String, List<String>> mEntriesByRegion = new TreeMap<>();

    /** The entries of each region that give the pieces which another region draws. */
    private final Map<String, List<String>> mRelaysByRegion = new TreeMap<>();

    private PiecePlan(Map<String, String> regions, int mostDrawers) {
        mEntries = regions.keySet().stream().sorted().toList();
        for (String entry : mEntries) {
            mEntriesByRegion
                    .computeIfAbsent(regions.getOrDefault(entry, ""), region -> new ArrayList<>())
                    .add(entry);
        }
        mFetchingEntries =
                mEntries.size() <= mostDrawers
                        ? mEntries
                        : pickAcrossRegions(mEntriesByRegion.values(), mostDrawers);
        mEntriesByRegion.forEach((region, near) -> mRelaysByRegion.put(region, relayEntries(near)));
    }

    /**
     * Returns a plan by which each entry draws.
     *
     * @param regions region of each entry
     */
    public static PiecePlan of(Map<String, String> regions) {
        return new PiecePlan(regions, Integer.MAX_VALUE);
    }

    /**
     * Returns a plan by which a part of the entries draws.
     *
     * @param regions region of each entry
     * @param originConnections connections that the origin takes
     */
    public static PiecePlan of(Map<String, String> regions, int originConnections) {
        return new PiecePlan(
                regions, Math.max(1, originConnections / CONNECTIONS_PER_FETCHING_ENTRY));
    }

    /** Returns entries of all regions in turn. */
    private static List<String> pickAcrossRegions(Collection<List<String>> regions, int most) {
        List<String> spread = new ArrayList<>();
        for (int i = 0; spread.size() < most; i++) {
            for (List<String> near : regions) {
                if (i < near.size() && spread.size() < most) {
                    spread.add(near.get(i));
                }
            }
        }
        return spread;
    }

    private List<String> relayEntries(List<String> near) {
        List<String> others =
                near.stream().filter(name -> !mFetchingEntries.contains(name)).toList();
        return others.isEmpty() ? near : others;
    }

    /** Returns the entry that draws a piece from the origin. */
    public Optional<String> fetchingEntry(int piece) {
        return mFetchingEntries.isEmpty()
                ? Optional.empty()
                : Optional.of(mFetchingEntries.get(piece % mFetchingEntries.size()));
    }

    /**
     * Returns the entry that gives a piece to the agents of a region.
     *
     * @param failures how often the piece did not come; another entry is named after each
     */
    public Optional<String> servingEntry(String region, int piece, int failures) {
        List<String> near = mEntriesByRegion.getOrDefault(region, mEntries);
        if (near.isEmpty()) {
            return Optional.empty();
        }
        List<String> relays = mRelaysByRegion.getOrDefault(region, mEntries);
        String first =
                fetchingEntry(piece)
                        .filter(near::contains)
                        .orElse(relays.get(piece % relays.size()));
        return Optional.of(near.get((near.indexOf(first) + failures) % near.size()));
    }

    /**
     * Returns the pieces that an entry draws, and then those that it gives to its region.
     *
     * @param pieces pieces of a version
     */
    public List<Integer> assignedPieces(String entry, String region, int pieces) {
        Set<Integer> own = new LinkedHashSet<>();
        for (int piece = 0; piece < pieces; piece++) {
            if (fetchingEntry(piece).equals(Optional.of(entry))) {
                own.add(piece);
            }
        }
        for (int piece = 0; piece < pieces; piece++) {
            if (servingEntry(region, piece, 0).equals(Optional.of(entry))) {
                own.add(piece);
            }
        }
        return List.copyOf(own);
    }

    /** Returns how many entries give pieces to the agents of a region. */
    public int servingEntryCount(String region) {
        return mEntriesByRegion.getOrDefault(region, mEntries).size();
    }
}
