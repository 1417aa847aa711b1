package org.sequoiahill.daemon.process.admin;

import java.util.List;
import org.eclipse.jetty.server.Request;
import org.sequoiahill.daemon.process.settings.DaemonSettings.Operator;

/** Some of the operators' calls. */
@FunctionalInterface
public interface OperatorApi {
    /**
     * Answers a call, if it is one of these.
     *
     * @return whether the call was one of these; the answer may follow later
     */
    boolean handle(Exchange exchange);

    /**
     * One call of an operator who is known.
     *
     * @param operator who calls
     * @param path segments of the path behind {@code /operators/}
     * @param request the request as it came
     * @param answer takes the answer, once
     */
    record Exchange(Operator operator, List<String> path, Request request, JsonResponse response) {
        /** Returns whether the path has these segments; {@code *} stands for any one. */
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

        /** Returns whether the call only reads. */
        boolean isRead() {
            return request.getMethod().equals("GET");
        }

        /** Returns a query parameter, empty where there is none. */
        String queryParameter(String name) {
            String value = Request.extractQueryParameters(request).getValue(name);
            return value == null ? "" : value;
        }
    }
}
