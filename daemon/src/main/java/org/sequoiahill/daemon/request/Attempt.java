package org.sequoiahill.daemon.request;

import java.util.Optional;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.RoutingTarget;

/**
 * One sending of a request to an endpoint of this data centre or to another data centre's entry.
 *
 * @param number 1 for the first attempt of a request
 * @param requestId id that the response must echo
 * @param address data address that the request is sent to, as host:port
 * @param target endpoint of this data centre, or other data centre, whose load includes the attempt
 */
public record Attempt(int number, String requestId, String address, RoutingTarget target) {
    /** Returns the target endpoint; empty if the attempt goes to another data centre's entry. */
    public Optional<Endpoint> endpoint() {
        return target instanceof Endpoint endpoint ? Optional.of(endpoint) : Optional.empty();
    }

    /** Returns whether the attempt goes to another data centre. */
    public boolean isRemote() {
        return !(target instanceof Endpoint);
    }
}
