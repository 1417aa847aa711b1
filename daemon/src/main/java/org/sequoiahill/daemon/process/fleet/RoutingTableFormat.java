package org.sequoiahill.daemon.process.fleet;

import org.sequoiahill.protocol.json.Checked;

/** Reads the text in which operators write routing tables. */
@FunctionalInterface
public interface RoutingTableFormat {
    /** Returns the table, or every fault that was found in the text. */
    Checked<RoutingTable> parse(byte[] text);
}
