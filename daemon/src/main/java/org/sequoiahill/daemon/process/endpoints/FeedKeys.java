package org.sequoiahill.daemon.process.endpoints;

/** Keys of feed items; endpoints and daemons, which the feed calls participants, share one feed. */
final class FeedKeys {
    private static final String ENDPOINT = "e/";
    private static final String PARTICIPANT = "p/";

    private FeedKeys() {}

    static String endpoint(String id) {
        return ENDPOINT + id;
    }

    static String participant(String vm) {
        return PARTICIPANT + vm;
    }
}
