package org.sequoiahill.bench.weights;

import java.util.List;
import org.sequoiahill.daemon.version.fetch.ChunkRanking;
import org.sequoiahill.daemon.version.fetch.FetchMember;

/** Ways to distribute a version in a region; all but {@link #SCATTER} are baselines. */
enum Strategy {
    /** Every agent fetches all chunks from the origin. */
    ORIGIN,
    /** Each agent fetches from the one before it, and the first from the origin. */
    CHAIN,
    /** Each agent fetches from its parent in a binary tree, and the root from the origin. */
    TREE,
    /** Each chunk has an owner, chosen by rendezvous hashing, that fetches it from the origin. */
    SCATTER;

    ChunkRanking ranking(FetchMember own) {
        return switch (this) {
            case ORIGIN -> (digest, members) -> List.of(own);
            case CHAIN -> (digest, members) -> peerThenSelf(members, own, members.indexOf(own) - 1);
            case TREE ->
                    (digest, members) -> peerThenSelf(members, own, parent(members.indexOf(own)));
            case SCATTER -> ChunkRanking.rendezvous();
        };
    }

    private static int parent(int index) {
        return index == 0 ? -1 : (index - 1) / 2;
    }

    private static List<FetchMember> peerThenSelf(
            List<FetchMember> members, FetchMember own, int source) {
        return source < 0 ? List.of(own) : List.of(members.get(source), own);
    }
}
