package org.sequoiahill.daemon.process.fleet;

import org.sequoiahill.protocol.json.ParseResult;

/** Parses routing tables from the text format that operators use. */
@FunctionalInterface
public interface RoutingTableFormat {
    /** Returns the table, or at least the first fault found in the text. */
    ParseResult<RoutingTable> parse(byte[] text);
}
