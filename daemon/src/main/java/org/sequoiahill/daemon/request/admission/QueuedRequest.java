package org.sequoiahill.daemon.request.admission;

import java.time.Duration;
import java.util.Set;
import org.sequoiahill.daemon.request.Attempt;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RoutedRequest;

/**
 * A request that waits for admission; each submission calls either {@link #onGranted} or {@link
 * #onRefused}, once.
 */
public interface QueuedRequest {
    /** Returns the routed request. */
    RoutedRequest request();

    /** Returns the monotonic time at which the request expires. */
    Duration deadline();

    /**
     * Returns the VMs of endpoints at which attempts have failed; they are tried again only if the
     * service has no others in this data centre.
     */
    Set<String> triedVms();

    /** Returns the number of attempts made so far. */
    int attempts();

    /** Returns whether the caller has disconnected. */
    boolean isAbandoned();

    /** Sends the request; its load on the endpoint has been counted already. */
    void onGranted(Attempt attempt);

    /** Sends the refusal to the caller. */
    void onRefused(Refusal refusal);
}
