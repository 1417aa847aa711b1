package org.sequoiahill.daemon.process.log;

import java.util.List;

/**
 * Configuration of a store, and what its storage held when the process started.
 *
 * @param id VM and storage incarnation of this store
 * @param address own control address
 * @param start what the storage held, and how often it has been opened
 * @param seeds stores that bootstrap the group, with unknown incarnations; the first one initiates
 *     the bootstrap
 * @param mayBootstrap whether this store may bootstrap the group; false for a store that lost its
 *     disk, which must join the existing group
 * @param voterPolicy how voters are replaced
 */
public record LocalStore(
        StoreId id,
        String address,
        Message.Start start,
        List<Member> seeds,
        boolean mayBootstrap,
        VoterPolicy voterPolicy) {
    /** Copies the seeds. */
    public LocalStore {
        seeds = List.copyOf(seeds);
    }

    /** Returns a store that may bootstrap its group, under the manual voter policy. */
    public static LocalStore of(
            StoreId id, String address, Message.Start start, List<Member> seeds) {
        return new LocalStore(id, address, start, seeds, true, VoterPolicy.manual());
    }

    /** Returns whether this store initiates the bootstrap of the group. */
    boolean isBootstrapStore() {
        return mayBootstrap && !seeds.isEmpty() && seeds.get(0).id().vm().equals(id.vm());
    }
}
