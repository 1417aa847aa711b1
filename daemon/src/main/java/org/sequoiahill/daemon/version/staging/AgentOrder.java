package org.sequoiahill.daemon.version.staging;

import java.util.Comparator;
import org.sequoiahill.daemon.process.directory.Hashes;

/**
 * The order in which engines load a new version; every agent computes the same order.
 *
 * <p>VM names of one data centre have a common prefix, so agents are ordered by the hash of the
 * name first. This interleaves the data centres, so that one with several engines rarely has all of
 * them loading at the same time.
 */
final class AgentOrder {
    /** Compares the VM names of agents. */
    static final Comparator<String> COMPARATOR =
            Comparator.<String>comparingLong(Hashes::of).thenComparing(Comparator.naturalOrder());

    private AgentOrder() {}
}
