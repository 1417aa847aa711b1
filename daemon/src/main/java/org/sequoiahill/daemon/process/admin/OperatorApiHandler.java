package org.sequoiahill.daemon.process.admin;

import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.process.admin.OperatorApi.Exchange;
import org.sequoiahill.daemon.process.settings.DaemonSettings.Operator;
import org.sequoiahill.protocol.weights.Digests;

/** Authenticates operators by bearer token and dispatches their requests to the APIs. */
public final class OperatorApiHandler extends Handler.Abstract {
    private static final String PREFIX = "/operators/";
    private static final String BEARER = "Bearer ";

    private final List<Operator> mOperators;
    private final List<OperatorApi> mApis;

    private OperatorApiHandler(List<Operator> operators, List<OperatorApi> apis) {
        mOperators = operators;
        mApis = apis;
    }

    /** Returns a handler that offers each request to the APIs in order until one handles it. */
    public static OperatorApiHandler of(List<Operator> operators, List<OperatorApi> apis) {
        return new OperatorApiHandler(operators, List.copyOf(apis));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        JsonResponse jsonResponse = JsonResponse.to(response, callback);
        Optional<Operator> operator = operatorOf(request);
        if (operator.isEmpty()) {
            jsonResponse.error(HttpStatus.UNAUTHORIZED_401, "unknown bearer token");
            return true;
        }
        List<String> parts = List.of(path.substring(PREFIX.length()).split("/", -1));
        Exchange exchange = new Exchange(operator.get(), parts, request, jsonResponse);
        if (mApis.stream().noneMatch(api -> api.handle(exchange))) {
            jsonResponse.error(HttpStatus.NOT_FOUND_404, "no such operators' path: " + path);
        }
        return true;
    }

    private Optional<Operator> operatorOf(Request request) {
        String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        String digest = Digests.of(authorization.substring(BEARER.length()));
        return mOperators.stream().filter(o -> o.tokenDigest().equals(digest)).findFirst();
    }
}
