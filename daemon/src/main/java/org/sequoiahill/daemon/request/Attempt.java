package org.sequoiahill.daemon.request;

import java.util.Optional;
import org.sequoiahill.daemon.process.directory.Endpoint;

/**
 * One sending of a request to an endpoint here or to another data centre's entry.
 *
 * @param number 1 for the first attempt of a request
 * @param requestId identity that the answer must echo
 * @param address data address that is asked, as host:port
 * @param endpoint endpoint that is asked; empty where another data centre's entry is
 */
public record Attempt(int number, String requestId, String address, Optional<Endpoint> endpoint) {
    /** Returns whether the attempt goes to another data centre. */
    public boolean isHop() {
        return endpoint.isEmpty();
    }
}
