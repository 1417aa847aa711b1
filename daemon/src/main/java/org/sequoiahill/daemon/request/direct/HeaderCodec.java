package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;

/** Names of the headers that callers, entries and endpoints exchange. */
public interface HeaderCodec {
    /** Returns what a caller's headers say. */
    RequestMetadata parseRequest(HttpFields headers);

    /** Returns the headers for an endpoint: the caller's own and what the entry adds. */
    HttpFields endpointHeaders(HttpFields callerHeaders, AttemptMetadata dispatch);

    /** Returns what the head of an endpoint's answer says. */
    ResponseMetadata parseResponse(int status, HttpFields headers);

    /** Returns when to come back, as callers read it. */
    String formatRetryAfter(Duration pause);
}
