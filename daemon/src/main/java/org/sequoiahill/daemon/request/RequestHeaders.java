package org.sequoiahill.daemon.request;

import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Names of the headers that the system adds to requests and answers. */
public final class RequestHeaders {
    /** Identity of a request: incarnation of the entry and a counter, echoed by the agent. */
    public static final String REQUEST_ID = "Sequoia-Request-Id";

    /** Present on a refusal whose request has not run. */
    public static final String NOT_RUN = "Sequoia-Not-Run";

    /** Manifest digest of the weights that an answer comes from. */
    public static final String WEIGHTS = "Sequoia-Weights";

    /** Present on a request that another data centre's entry has passed on. */
    public static final String HOP = "Sequoia-Hop";

    /** Organisation of the caller, as the first entry has checked it. */
    public static final String ORGANISATION = "Sequoia-Organisation";

    /** Time that the caller gives the request, in milliseconds. */
    public static final String DEADLINE = "Sequoia-Deadline-Millis";

    /** Present on a request that must run beside no other at its endpoint. */
    public static final String ALONE = "Sequoia-Alone";

    /** Load of the endpoint that has answered: requests running, a slash, requests it bears now. */
    public static final String LOAD = "Sequoia-Load";

    /** Priority class of a request, for engines that honour it: high, normal or low. */
    public static final String PRIORITY = "Sequoia-Priority";

    /** Hash of a prompt's beginning, for engines that cache prefixes. */
    public static final String PREFIX = "Sequoia-Prefix";

    /** Present on an answer of an agent or entry that can't know whether the request has run. */
    public static final String OUTCOME_UNKNOWN = "Sequoia-Outcome-Unknown";

    /** Identity of a request towards an endpoint; one that echoes it is checked. */
    public static final String ENDPOINT_REQUEST_ID = "X-Request-Id";

    /** Short name of the cause, on each answer that the system gives by itself. */
    public static final String REFUSAL = "Sequoia-Refusal";

    /** Headers that belong to one connection and are never passed on. */
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

    /** Returns the value of a header that holds a positive number; zero where it does not. */
    static long parsePositive(@Nullable String value) {
        return value != null && POSITIVE.matcher(value).matches() ? Long.parseLong(value) : 0;
    }
}
