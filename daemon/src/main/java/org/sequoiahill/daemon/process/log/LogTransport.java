package org.sequoiahill.daemon.process.log;

import java.util.List;

/** Sends messages to other stores; may lose, duplicate and reorder them. */
@FunctionalInterface
public interface LogTransport {
    /** Sends messages without blocking. */
    void send(List<Message> messages);

    /** Updates the addresses of the members. */
    default void updateAddresses(Membership members) {}
}
