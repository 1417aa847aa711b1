package org.sequoiahill.daemon.request.once;

import java.util.List;

/** Finds where an agent can be asked. */
@FunctionalInterface
public interface AgentAddressResolver {
    /**
     * Returns data addresses to ask in turn, as host:port: the agent's own where it is known here,
     * else entries of other data centres that may know it.
     *
     * @param vm VM of the agent
     */
    List<Address> resolve(String vm);

    /**
     * One address.
     *
     * @param hostPort data address
     * @param isEntry whether an entry listens there that passes the question on
     */
    record Address(String hostPort, boolean isEntry) {}
}
