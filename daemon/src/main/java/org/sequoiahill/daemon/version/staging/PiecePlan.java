package org.sequoiahill.daemon.version.staging;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * From whom each agent gets which piece.
 *
 * <p>Where agents already hold the version, as when endpoints are added, the pieces come from those
 * of the region in turn. Otherwise the pieces go round all agents that want the version, so that
 * the origin sends each once; in each other region one agent gets a piece from the agent that drew
 * it, and the rest of the region from that one, so that a piece crosses between two regions once.
 * All agents send about as much as they receive.
 */
final class PiecePlan {
    private final String mSelf;
    private final int mPieces;
    private final List<String> mAgents;
    private final Map<String, String> mRegions;
    private final List<String> mHolders;
    private final Map<String, List<String>> mAgentsByRegion = new TreeMap<>();

    private PiecePlan(
            String self, Map<String, String> regions, Map<String, String> holders, int pieces) {
        mSelf = self;
        mRegions = Map.copyOf(regions);
        mPieces = pieces;
        mAgents = regions.keySet().stream().sorted().toList();
        mHolders = nearest(holders, regionOf(self));
        for (String agent : mAgents) {
            mAgentsByRegion
                    .computeIfAbsent(regionOf(agent), region -> new ArrayList<>())
                    .add(agent);
        }
    }

    /**
     * Returns a plan.
     *
     * @param self name of this agent, which wants the version
     * @param regions region of each agent that wants the version, this one among them
     * @param holders region of each agent whose engine has loaded the version
     * @param pieces number of pieces
     */
    static PiecePlan of(
            String self, Map<String, String> regions, Map<String, String> holders, int pieces) {
        if (!regions.containsKey(self)) {
            throw new IllegalArgumentException(self + " wants the version and is in no region");
        }
        return new PiecePlan(self, regions, holders, pieces);
    }

    /** Returns the agent that this one gets a piece from, or nothing for the origin. */
    Optional<String> source(int piece) {
        if (!mHolders.isEmpty()) {
            return Optional.of(mHolders.get(piece % mHolders.size()));
        }
        String drawer = mAgents.get(piece % mAgents.size());
        if (drawer.equals(mSelf)) {
            return Optional.empty();
        }
        String region = regionOf(mSelf);
        if (regionOf(drawer).equals(region)) {
            return Optional.of(drawer);
        }
        List<String> near = mAgentsByRegion.getOrDefault(region, List.of());
        String receiver = near.get(piece % near.size());
        return Optional.of(receiver.equals(mSelf) ? drawer : receiver);
    }

    /** Returns the pieces that this agent draws from the origin. */
    List<Integer> own() {
        return pieces(true);
    }

    /**
     * Returns the pieces that come from other agents; each agent begins at another piece, so that
     * nobody is asked by all at once.
     */
    List<Integer> others() {
        return pieces(false);
    }

    private List<Integer> pieces(boolean isOwn) {
        List<Integer> pieces = new ArrayList<>();
        int start = mAgents.indexOf(mSelf) + 1;
        for (int i = 0; i < mPieces; i++) {
            int piece = (start + i) % mPieces;
            if (source(piece).isEmpty() == isOwn) {
                pieces.add(piece);
            }
        }
        return pieces;
    }

    /** Returns the holders of a region, or all where it has none. */
    private static List<String> nearest(Map<String, String> holders, String region) {
        List<String> near =
                holders.entrySet().stream()
                        .filter(entry -> entry.getValue().equals(region))
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        return near.isEmpty() ? holders.keySet().stream().sorted().toList() : near;
    }

    private String regionOf(String agent) {
        return mRegions.getOrDefault(agent, "");
    }
}
