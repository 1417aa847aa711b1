package org.sequoiahill.daemon.process.directory;

/** Where requests can be sent: an endpoint here, or the endpoints of another data centre. */
public interface Place {
    /** Returns the name of the VM or data centre. */
    String name();

    /** Returns what is known of the load. */
    PlaceLoad load();

    /** Notes a request sent; {@link #release} must follow. */
    default void began() {
        load().began();
    }

    /** Notes the end of a request. */
    default void ended() {
        load().ended();
    }
}
