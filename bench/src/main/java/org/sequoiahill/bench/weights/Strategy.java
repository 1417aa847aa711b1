package org.sequoiahill.bench.weights;

import java.util.List;
import org.sequoiahill.daemon.version.fetch.ChunkRanking;
import org.sequoiahill.daemon.version.fetch.FetchMember;

/**
 * Ways to distribute a version in a region; all but {@link #SCATTER} are baselines.
 *
 * <p>An agent requests a chunk from the members of a ranking in order. Its own place in the ranking
 * stands for the origin.
 */
enum Strategy {
    /** Every agent fetches all chunks from the origin. */
    ORIGIN,
    /**
     * Each agent fetches from the one before it, or from the origin if that one fails; the first
     * fetches from the origin.
     */
    CHAIN,
    /**
     * Each agent fetches from its parent in a binary tree, or from the origin if the parent fails;
     * the root fetches from the origin.
     */
    TREE,
    /**
     * Each chunk has an owner, chosen by rendezvous hashing, that fetches it from the origin; the
     * other agents fetch it from the owner.
     */
    SCATTER;

    ChunkRanking ranking(FetchMember own) {
        return switch (this) {
            case ORIGIN -> (digest, members) -> List.of(own);
            case CHAIN ->
                    (digest, members) -> peerThenOrigin(members, own, members.indexOf(own) - 1);
            case TREE ->
                    (digest, members) -> peerThenOrigin(members, own, parent(members.indexOf(own)));
            case SCATTER -> ChunkRanking.rendezvous();
        };
    }

    private static int parent(int index) {
        return index == 0 ? -1 : (index - 1) / 2;
    }

    private static List<FetchMember> peerThenOrigin(
            List<FetchMember> members, FetchMember own, int peer) {
        return peer < 0 ? List.of(own) : List.of(members.get(peer), own);
    }
}
