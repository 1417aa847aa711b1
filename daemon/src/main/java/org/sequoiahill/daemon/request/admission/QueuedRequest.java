package org.sequoiahill.daemon.request.admission;

import java.time.Duration;
import java.util.Set;
import org.sequoiahill.daemon.request.Attempt;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RoutedRequest;

/** A request that asks for its turn; exactly one of granted and refused is called a submission. */
public interface QueuedRequest {
    /** Returns the request. */
    RoutedRequest request();

    /** Returns the monotonic time at which the request is given up. */
    Duration deadline();

    /** Returns endpoints and data centres that must not be asked again. */
    Set<String> triedIds();

    /** Returns the attempts that were made. */
    int attempts();

    /** Returns whether the caller has gone. */
    boolean isAbandoned();

    /** Sends the request; its place at the endpoint is already counted. */
    void onGranted(Attempt attempt);

    /** Answers the caller. */
    void onRefused(Refusal refusal);
}
