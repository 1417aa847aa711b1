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
 * Assigns the pieces of a version to the entries that fetch them and to the entries that serve
 * them.
 *
 * <p>Endpoint VMs have little bandwidth and also send responses, while entry VMs have more. So
 * entries distribute the pieces: for each piece one entry fetches it from the origin, one entry of
 * each other region fetches it from that entry, and the agents of a region fetch it from their
 * region's entry. The origin sends each piece once, each link between two regions carries it once,
 * and an agent's link carries only the agent's own copy.
 *
 * <p>{@link #of(Map, int)} limits the number of entries that fetch from the origin, so that pieces
 * arrive one after the other from early on instead of all at the end, and the origin has
 * connections left for agents that reach no entry.
 */
public final class PiecePlan {
    /**
     * The origin's connection limit divided by this is the maximum number of fetching entries,
     * which is at least one.
     */
    private static final int CONNECTIONS_PER_FETCHING_ENTRY = 4;

    private final List<String> mFetchingEntries;
    private final List<String> mEntries;
    private final Map<String, List<String>> mEntriesByRegion = new TreeMap<>();

    /**
     * The entries of each region that serve the pieces which entries of other regions fetch from
     * the origin.
     */
    private final Map<String, List<String>> mRelaysByRegion = new TreeMap<>();

    private PiecePlan(Map<String, String> regions, int maxFetchingEntries) {
        mEntries = regions.keySet().stream().sorted().toList();
        for (String entry : mEntries) {
            mEntriesByRegion
                    .computeIfAbsent(regions.getOrDefault(entry, ""), region -> new ArrayList<>())
                    .add(entry);
        }
        mFetchingEntries =
                mEntries.size() <= maxFetchingEntries
                        ? mEntries
                        : pickAcrossRegions(mEntriesByRegion.values(), maxFetchingEntries);
        mEntriesByRegion.forEach(
                (region, regionEntries) ->
                        mRelaysByRegion.put(region, relayEntries(regionEntries)));
    }

    /**
     * Returns a plan in which every entry fetches from the origin.
     *
     * @param regions region of each entry
     */
    public static PiecePlan of(Map<String, String> regions) {
        return new PiecePlan(regions, Integer.MAX_VALUE);
    }

    /**
     * Returns a plan in which the number of fetching entries is limited by the origin's
     * connections.
     *
     * @param regions region of each entry
     * @param originConnections connections that the origin accepts
     */
    public static PiecePlan of(Map<String, String> regions, int originConnections) {
        return new PiecePlan(
                regions, Math.max(1, originConnections / CONNECTIONS_PER_FETCHING_ENTRY));
    }

    /** Returns at most {@code max} entries, picked from the regions in round-robin order. */
    private static List<String> pickAcrossRegions(Collection<List<String>> regions, int max) {
        List<String> picked = new ArrayList<>();
        for (int i = 0; picked.size() < max; i++) {
            for (List<String> regionEntries : regions) {
                if (i < regionEntries.size() && picked.size() < max) {
                    picked.add(regionEntries.get(i));
                }
            }
        }
        return picked;
    }

    private List<String> relayEntries(List<String> regionEntries) {
        List<String> others =
                regionEntries.stream().filter(name -> !mFetchingEntries.contains(name)).toList();
        return others.isEmpty() ? regionEntries : others;
    }

    /** Returns the entry that fetches a piece from the origin. */
    public Optional<String> fetchingEntry(int piece) {
        return mFetchingEntries.isEmpty()
                ? Optional.empty()
                : Optional.of(mFetchingEntries.get(piece % mFetchingEntries.size()));
    }

    /**
     * Returns the entry that serves a piece to the agents of a region: one of that region or, if it
     * has none, of any region.
     *
     * @param failures failed attempts to fetch the piece so far; each moves on to the next of these
     *     entries
     */
    public Optional<String> servingEntry(String region, int piece, int failures) {
        List<String> regionEntries = mEntriesByRegion.getOrDefault(region, mEntries);
        if (regionEntries.isEmpty()) {
            return Optional.empty();
        }
        List<String> relays = mRelaysByRegion.getOrDefault(region, mEntries);
        String preferred =
                fetchingEntry(piece)
                        .filter(regionEntries::contains)
                        .orElse(relays.get(piece % relays.size()));
        return Optional.of(
                regionEntries.get(
                        (regionEntries.indexOf(preferred) + failures) % regionEntries.size()));
    }

    /**
     * Returns the pieces that an entry fetches from the origin, followed by the others that it
     * serves to its region.
     *
     * @param pieces number of pieces of the version
     */
    public List<Integer> assignedPieces(String entry, String region, int pieces) {
        Set<Integer> assigned = new LinkedHashSet<>();
        for (int piece = 0; piece < pieces; piece++) {
            if (fetchingEntry(piece).equals(Optional.of(entry))) {
                assigned.add(piece);
            }
        }
        for (int piece = 0; piece < pieces; piece++) {
            if (servingEntry(region, piece, 0).equals(Optional.of(entry))) {
                assigned.add(piece);
            }
        }
        return List.copyOf(assigned);
    }

    /** Returns the number of entries that serve pieces to the agents of a region. */
    public int servingEntryCount(String region) {
        return mEntriesByRegion.getOrDefault(region, mEntries).size();
    }
}
