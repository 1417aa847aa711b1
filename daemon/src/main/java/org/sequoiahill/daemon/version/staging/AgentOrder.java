package org.sequoiahill.daemon.version.staging;

import java.util.Comparator;
import org.sequoiahill.daemon.process.directory.Hashes;

/**
 * The order in which agents get pieces and load a new version, the same at every agent.
 *
 * <p>Names of VMs of one data centre are alike, so their hashes are compared first; the order then
 * mixes the data centres, and none has all its engines away at once.
 */
final class AgentOrder {
    /** Compares the names of agents' VMs. */
    static final Comparator<String> COMPARATOR =
            Comparator.<String>comparingLong(Hashes::of).thenComparing(Comparator.naturalOrder());

    private AgentOrder() {}
}
