package org.sequoiahill.daemon.request;

import java.util.Optional;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.RoutingTarget;

/**
 * One sending of a request to an endpoint here or to another data centre's entry.
 *
 * @param number 1 for the first attempt of a request
 * @param requestId identity that the answer must echo
 * @param address data address that is asked, as host:port
 * @param place endpoint here or data centre elsewhere, whose load the attempt counts to
 */
public record Attempt(int number, String requestId, String address, RoutingTarget place) {
    /** Returns the endpoint that is asked; empty where another data centre's entry is. */
    public Optional<Endpoint> endpoint() {
        return place instanceof Endpoint endpoint ? Optional.of(endpoint) : Optional.empty();
    }

    /** Returns whether the attempt goes to another data centre. */
    public boolean isRemote() {
        return !(place instanceof Endpoint);
    }
}
