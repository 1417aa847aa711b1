package org.sequoiahill.daemon.version.staging;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The order in which an agent requests the pieces of a version.
 *
 * <p>Pieces are requested in blocks, in the order in which entries fetch them from the origin.
 * Within a block the agents of a region start at different pieces, and so at different entries. If
 * all agents requested the same piece at once, one entry's link would carry all the copies while
 * the links of the other entries are idle.
 */
public final class PieceOrder {
    private final int mBlockSize;
    private final int mOffset;

    private PieceOrder(int blockSize, int offset) {
        mBlockSize = blockSize;
        mOffset = offset;
    }

    /**
     * Returns the order of one agent.
     *
     * @param self name of the agent
     * @param agents names of the agents of its region
     * @param entries number of entries that serve pieces to that region
     */
    public static PieceOrder of(String self, Collection<String> agents, int entries) {
        int offset = (int) agents.stream().filter(name -> name.compareTo(self) < 0).count();
        return new PieceOrder(Math.max(1, entries), offset);
    }

    /** Returns the piece numbers of a version in this order. */
    public List<Integer> sequence(int pieces) {
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
