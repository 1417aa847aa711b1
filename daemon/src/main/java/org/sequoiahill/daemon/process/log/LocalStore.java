package org.sequoiahill.daemon.process.log;

import java.util.List;

/**
 * What the core knows of its own store from the start.
 *
 * @param id own VM and storage
 * @param address own control address
 * @param start what the storage held, and how often it was opened
 * @param seeds stores that found the group, the founder first; their incarnations aren't known
 */
public record LocalStore(StoreId id, String address, Message.Start start, List<Member> seeds) {
    /** Copies the list. */
    public LocalStore {
        seeds = List.copyOf(seeds);
    }

    /** Returns whether this store founds the group. */
    boolean isFounder() {
        return !seeds.isEmpty() && seeds.get(0).id().vm().equals(id.vm());
    }
}
