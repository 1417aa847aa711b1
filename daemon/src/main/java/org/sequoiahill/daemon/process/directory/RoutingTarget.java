package org.sequoiahill.daemon.process.directory;

/** Where requests can be sent: an endpoint here, or the endpoints of another data centre. */
public interface RoutingTarget {
    /** Returns the name of the VM or data centre. */
    String name();

    /** Returns what is known of the load. */
    TargetLoad load();

    /** Notes a request sent; {@link #requestEnded} must follow. */
    default void requestStarted() {
        load().requestStarted();
    }

    /** Notes the end of a request. */
    default void requestEnded() {
        load().requestEnded();
    }
}
