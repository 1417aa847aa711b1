package org.sequoiahill.bench.weights;

import java.util.List;
import org.sequoiahill.daemon.version.fetch.ChunkRanking;
import org.sequoiahill.daemon.version.fetch.FetchMember;

/** Ways to spread a version inside a region; all but {@link #SCATTER} are baselines. */
enum Strategy {
    /** Every agent draws everything from the origin. */
    ORIGIN,
    /** Each agent asks the one before it, the first draws from the origin. */
    CHAIN,
    /** Each agent asks its parent in a binary tree, the root draws from the origin. */
    TREE,
    /** Each chunk has an owner by rendezvous hashing. */
    SCATTER;

    ChunkRanking ranking(FetchMember own) {
        return switch (this) {
            case ORIGIN -> (digest, members) -> List.of(own);
            case CHAIN -> (digest, members) -> peerThenSelf(members, own, members.indexOf(own) - 1);
            case TREE -> (digest, members) -> peerThenSelf(members, own, parent(members.indexOf(own)));
            case SCATTER -> ChunkRanking.rendezvous();
        };
    }

    private static int parent(int index) {
        return index == 0 ? -1 : (index - 1) / 2;
    }

    private static List<FetchMember> peerThenSelf(List<FetchMember> members, FetchMember own, int asked) {
        return asked < 0 ? List.of(own) : List.of(members.get(asked), own);
    }
}
