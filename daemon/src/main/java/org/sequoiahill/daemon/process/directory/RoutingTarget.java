package org.sequoiahill.daemon.process.directory;

/** A target of requests: a local endpoint, or the endpoints of another data centre. */
public interface RoutingTarget {
    /** Returns the name of the VM or of the data centre. */
    String name();

    /** Returns the load of the target as known to this entry. */
    TargetLoad load();

    /** Records that a request was sent; {@link #requestEnded} must follow. */
    default void requestStarted() {
        load().requestStarted();
    }

    /** Records that a request has ended. */
    default void requestEnded() {
        load().requestEnded();
    }
}
