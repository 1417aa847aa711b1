package org.sequoiahill.daemon.process.admin;

import java.util.List;
import org.eclipse.jetty.server.Request;
import org.sequoiahill.daemon.process.settings.DaemonSettings.Operator;

/** A group of related paths of the operators' HTTP API. */
@FunctionalInterface
public interface OperatorApi {
    /**
     * Handles a request if its path and method belong to this API.
     *
     * @return whether the request belongs to this API; the response may be sent later
     */
    boolean handle(Exchange exchange);

    /**
     * One request of an authenticated operator, and its response.
     *
     * @param operator operator who sent the request
     * @param path segments of the path after {@code /operators/}
     * @param request the HTTP request
     * @param response writes the response, once
     */
    record Exchange(Operator operator, List<String> path, Request request, JsonResponse response) {
        /** Returns whether the path has these segments; {@code *} matches any one segment. */
        boolean matchesPath(String... pattern) {
            if (pattern.length != path.size()) {
                return false;
            }
            for (int i = 0; i < pattern.length; i++) {
                if (!pattern[i].equals("*") && !pattern[i].equals(path.get(i))) {
                    return false;
                }
            }
            return true;
        }

        /** Returns whether this is a GET request. */
        boolean isRead() {
            return request.getMethod().equals("GET");
        }

        /** Returns a query parameter, or an empty string if it is absent. */
        String queryParameter(String name) {
            String value = Request.extractQueryParameters(request).getValue(name);
            return value == null ? "" : value;
        }
    }
}
