package org.sequoiahill.daemon.request;

import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Names of the headers that the system adds to requests and responses. */
public final class RequestHeaders {
    /** Id of an attempt: incarnation of the entry and a counter. The receiver echoes it. */
    public static final String REQUEST_ID = "Sequoia-Request-Id";

    /** Present on a refusal whose request has not run. */
    public static final String NOT_RUN = "Sequoia-Not-Run";

    /** Manifest digest of the version that produced a response. */
    public static final String WEIGHTS = "Sequoia-Weights";

    /** Present on a request from another data centre's entry. */
    public static final String HOP = "Sequoia-Hop";

    /** Reserved for the organisation of the caller; no process sets or reads it. */
    public static final String ORGANISATION = "Sequoia-Organisation";

    /** Time left until the caller's deadline, in milliseconds. */
    public static final String DEADLINE = "Sequoia-Deadline-Millis";

    /** Present on a request that must run alone at its endpoint. */
    public static final String ALONE = "Sequoia-Alone";

    /** Load of the responding endpoint: running requests, a slash, current limit on them. */
    public static final String LOAD = "Sequoia-Load";

    /** Priority of a request, for engines that support it: high, normal or low. */
    public static final String PRIORITY = "Sequoia-Priority";

    /** Hash of the prompt's prefix, for engines that cache prefixes. */
    public static final String PREFIX = "Sequoia-Prefix";

    /** Present on a refusal by an agent or entry that does not know whether the request has run. */
    public static final String OUTCOME_UNKNOWN = "Sequoia-Outcome-Unknown";

    /** Id of a request sent to an endpoint; checked if the endpoint echoes it. */
    public static final String ENDPOINT_REQUEST_ID = "X-Request-Id";

    /** Short name of the cause, on each refusal. */
    public static final String REFUSAL = "Sequoia-Refusal";

    /** Headers, in lower case, that are valid for one hop only and never forwarded. */
    static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "host",
                    "sequoia-load",
                    "date",
                    "server");

    private static final Pattern POSITIVE = Pattern.compile("[1-9][0-9]{0,9}");

    private RequestHeaders() {}

    /** Parses a positive number of up to ten digits; returns zero if the value is anything else. */
    static long parsePositive(@Nullable String value) {
        return value != null && POSITIVE.matcher(value).matches() ? Long.parseLong(value) : 0;
    }
}
