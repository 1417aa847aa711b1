package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;

/** Names of the headers that callers, entries and endpoints exchange. */
public interface CallerDialect {
    /** Returns what a caller's headers say. */
    CallerRequest read(HttpFields headers);

    /** Returns the headers for an endpoint: the caller's own and what the entry adds. */
    HttpFields outgoing(HttpFields callerHeaders, Dispatch dispatch);

    /** Returns what the head of an endpoint's answer says. */
    EndpointAnswer answer(int status, HttpFields headers);

    /** Returns when to come back, as callers read it. */
    String retryAfter(Duration pause);
}
