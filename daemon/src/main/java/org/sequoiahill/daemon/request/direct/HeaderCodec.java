package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;

/** Maps between HTTP headers and the metadata that callers, entries and endpoints exchange. */
public interface HeaderCodec {
    /** Parses the headers of a caller's request. */
    RequestMetadata parseRequest(HttpFields headers);

    /**
     * Returns the headers to send to an endpoint: those of the caller that may be forwarded, and
     * those that the entry sets.
     */
    HttpFields endpointHeaders(HttpFields callerHeaders, AttemptMetadata metadata);

    /** Parses the status and headers of an endpoint's response. */
    ResponseMetadata parseResponse(int status, HttpFields headers);

    /** Returns the {@code Retry-After} value for the time after which a caller may retry. */
    String formatRetryAfter(Duration retryAfter);
}
