package org.sequoiahill.daemon.version.swap;

/** Outcome of a load order. */
public enum LoadOrderResult {
    /** The engine accepted the order. */
    ACCEPTED,
    /** The order was refused or could not be sent; it has no effect. */
    REFUSED,
    /** There was no response, so the order may still take effect later. */
    UNKNOWN
}
