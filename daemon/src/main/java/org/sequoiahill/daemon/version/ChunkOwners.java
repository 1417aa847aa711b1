package org.sequoiahill.daemon.version;

import java.util.Comparator;
import java.util.List;
import org.sequoiahill.protocol.gen.Peer;
import org.sequoiahill.protocol.weights.Digests;

/** Ranks the agents of a data centre for each chunk by rendezvous hashing. */
public final class ChunkOwners {
    private ChunkOwners() {}

    /** Returns the peers, the owner of the chunk first. */
    public static List<Peer> rank(String chunkDigest, List<Peer> peers) {
        return peers.stream()
                .sorted(
                        Comparator.comparing(
                                (Peer peer) -> Digests.of(chunkDigest + "/" + peer.getVm())))
                .toList();
    }
}
