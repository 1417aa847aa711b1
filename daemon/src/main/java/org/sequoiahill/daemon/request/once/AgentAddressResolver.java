package org.sequoiahill.daemon.request.once;

import java.util.List;

/** Resolves an agent to the addresses through which it can be reached. */
@FunctionalInterface
public interface AgentAddressResolver {
    /**
     * Returns the data addresses to try in order: the agent's own if it is known here, otherwise
     * those of entries in other data centres that may know it.
     *
     * @param vm VM of the agent
     */
    List<Address> resolve(String vm);

    /**
     * One address.
     *
     * @param hostPort data address, as host:port
     * @param isEntry whether the address is that of an entry, which forwards requests to the agent
     */
    record Address(String hostPort, boolean isEntry) {}
}
