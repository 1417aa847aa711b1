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

/** Serves operators' calls: tells who calls, and gives the call to the part that answers it. */
public final class OperatorApiHandler extends Handler.Abstract {
    private static final String PREFIX = "/operators/";
    private static final String BEARER = "Bearer ";

    private final List<Operator> mOperators;
    private final List<OperatorApi> mCalls;

    private OperatorApiHandler(List<Operator> operators, List<OperatorApi> calls) {
        mOperators = operators;
        mCalls = calls;
    }

    /** Returns a handler that asks the parts in turn. */
    public static OperatorApiHandler of(List<Operator> operators, List<OperatorApi> calls) {
        return new OperatorApiHandler(operators, List.copyOf(calls));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        JsonResponse answer = JsonResponse.to(response, callback);
        Optional<Operator> operator = operatorOf(request);
        if (operator.isEmpty()) {
            answer.error(HttpStatus.UNAUTHORIZED_401, "the operator's bearer token is not known");
            return true;
        }
        List<String> parts = List.of(path.substring(PREFIX.length()).split("/", -1));
        Exchange exchange = new Exchange(operator.get(), parts, request, answer);
        if (mCalls.stream().noneMatch(call -> call.handle(exchange))) {
            answer.error(HttpStatus.NOT_FOUND_404, "no such operators' call: " + path);
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
