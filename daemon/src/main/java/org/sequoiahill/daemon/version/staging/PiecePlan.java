package org.sequoiahill.daemon.version.staging;

import java.util.ArrayList;
import java.util.List;

/**
 * Which agent draws which piece from the origin.
 *
 * <p>The pieces go round the agents in the order of their names, so that the origin sends each
 * piece once and every agent sends about as much as it receives.
 *
 * @param agents names of the agents that want the version, sorted
 * @param self name of this agent
 * @param pieces number of pieces
 */
record PiecePlan(List<String> agents, String self, int pieces) {
    /** Sorts the names. */
    PiecePlan {
        agents = agents.stream().sorted().toList();
    }

    /** Returns the agent that draws a piece from the origin. */
    String owner(int piece) {
        return agents.isEmpty() ? self : agents.get(piece % agents.size());
    }

    /** Returns the pieces that this agent draws from the origin. */
    List<Integer> own() {
        List<Integer> own = new ArrayList<>();
        for (int piece = 0; piece < pieces; piece++) {
            if (owner(piece).equals(self)) {
                own.add(piece);
            }
        }
        return own;
    }

    /**
     * Returns the pieces that others draw; each agent begins at the owner behind itself, so that no
     * owner is asked by all at once.
     */
    List<Integer> others() {
        List<Integer> others = new ArrayList<>();
        int start = Math.max(0, agents.indexOf(self)) + 1;
        for (int i = 0; i < pieces; i++) {
            int piece = (start + i) % pieces;
            if (!owner(piece).equals(self)) {
                others.add(piece);
            }
        }
        return others;
    }
}
