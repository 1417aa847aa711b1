package org.sequoiahill.daemon.version.staging;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The order in which an agent asks for the pieces of a version.
 *
 * <p>Pieces go in blocks, in the order in which entries draw them. In each block the agents of a
 * region begin at different pieces, and so at different entries: were all to ask for the same piece
 * at once, one entry's link would carry it to all of them while those of the others are idle.
 */
public final class PieceOrder {
    private final int mBlockSize;
    private final int mOffset;

    private PieceOrder(int block, int rank) {
        mBlockSize = block;
        mOffset = rank;
    }

    /**
     * Returns the order of one agent.
     *
     * @param self name of the agent
     * @param agents names of the agents of its region
     * @param entries number of the entries that give pieces to that region
     */
    public static PieceOrder of(String self, Collection<String> agents, int entries) {
        int before = (int) agents.stream().filter(name -> name.compareTo(self) < 0).count();
        return new PieceOrder(Math.max(1, entries), before);
    }

    /** Returns all pieces of a version in the order. */
    public List<Integer> of(int pieces) {
        List<Integer> order = new ArrayList<>();
        for (int start = 0; start < pieces; start += mBlockSize) {
            int length = Math.min(mBlockSize, pieces - start);
            for (int i = 0; i < length; i++) {
                order.add(start + (i + mOffset) % length);
            }
        }
        return order;
    }
}
