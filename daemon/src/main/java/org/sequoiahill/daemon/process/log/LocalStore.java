package org.sequoiahill.daemon.process.log;

import java.util.List;

/**
 * What the core knows of its own store from the start.
 *
 * @param id own VM and storage
 * @param address own control address
 * @param start what the storage held, and how often it was opened
 * @param seeds stores that found the group, the founder first; their incarnations aren't known
 * @param mayBootstrap whether the group may not exist yet; a store that lost its disk must join it
 * @param voterPolicy how voters are replaced
 */
public record LocalStore(
        StoreId id,
        String address,
        Message.Start start,
        List<Member> seeds,
        boolean mayBootstrap,
        VoterPolicy voterPolicy) {
    /** Copies the list. */
    public LocalStore {
        seeds = List.copyOf(seeds);
    }

    /** Returns a store that may found its group and whose members change by order. */
    public static LocalStore of(
            StoreId id, String address, Message.Start start, List<Member> seeds) {
        return new LocalStore(id, address, start, seeds, true, VoterPolicy.manual());
    }

    /** Returns whether this store founds the group. */
    boolean isBootstrapStore() {
        return mayBootstrap && !seeds.isEmpty() && seeds.get(0).id().vm().equals(id.vm());
    }
}
