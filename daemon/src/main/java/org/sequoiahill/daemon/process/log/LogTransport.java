package org.sequoiahill.daemon.process.log;

import java.util.List;

/** Carries messages to other stores; may lose, repeat and reorder them. */
@FunctionalInterface
public interface LogTransport {
    /** Sends messages, without waiting. */
    void send(List<Message> messages);

    /** Tells where the members can be reached from now on. */
    default void updateAddresses(Membership members) {}
}
