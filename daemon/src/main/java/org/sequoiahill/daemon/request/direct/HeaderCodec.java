package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;

/** Maps between HTTP headers and what callers, entries and endpoints exchange in them. */
public interface HeaderCodec {
    /** Parses the headers of a caller's request. */
    RequestMetadata parseRequest(HttpFields headers);

    /**
     * Returns the headers to send to an endpoint: the caller's own and those that the entry adds.
     */
    HttpFields endpointHeaders(HttpFields callerHeaders, AttemptMetadata metadata);

    /** Parses the status and headers of an endpoint's response. */
    ResponseMetadata parseResponse(int status, HttpFields headers);

    /** Formats the time after which a caller may retry as a {@code Retry-After} value. */
    String formatRetryAfter(Duration retryAfter);
}
