package org.sequoiahill.daemon.process.endpoints;

/** Keys of feed items; endpoints, gone ones, and daemons (participants) share one feed. */
final class FeedKeys {
    private static final String ENDPOINT = "e/";
    private static final String GONE = "g/";
    private static final String PARTICIPANT = "p/";

    private FeedKeys() {}

    static String endpoint(String id) {
        return ENDPOINT + id;
    }

    /** Returns the key of a deregistration that ends a later start than the store knows. */
    static String gone(String id) {
        return GONE + id;
    }

    static String participant(String vm) {
        return PARTICIPANT + vm;
    }
}
