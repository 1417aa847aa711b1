package org.sequoiahill.daemon.version.swap;

/** What became of an order to load weights. */
public enum LoadOrderResult {
    /** The engine says that it has taken the order. */
    ACCEPTED,
    /** The engine refused the order; it changes nothing. */
    REFUSED,
    /** No answer came, so the order may take effect later. */
    UNKNOWN
}
