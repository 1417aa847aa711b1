package org.sequoiahill.daemon.process.admin;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves liveness, readiness and Prometheus metrics. */
public final class AdminHandler extends Handler.Abstract {
    private final PrometheusMeterRegistry mMetrics;
    private final BooleanSupplier mIsReady;

    private AdminHandler(PrometheusMeterRegistry metrics, BooleanSupplier isReady) {
        mMetrics = metrics;
        mIsReady = isReady;
    }

    /** Returns a handler that evaluates {@code isReady} for each readiness probe. */
    public static AdminHandler of(PrometheusMeterRegistry metrics, BooleanSupplier isReady) {
        return new AdminHandler(metrics, isReady);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        switch (Request.getPathInContext(request)) {
            case "/metrics" -> write(response, callback, HttpStatus.OK_200, mMetrics.scrape());
            case "/health/live" -> write(response, callback, HttpStatus.OK_200, "live\n");
            case "/health/ready" -> {
                boolean isReady = mIsReady.getAsBoolean();
                int status = isReady ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
                write(response, callback, status, isReady ? "ready\n" : "not ready\n");
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void write(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
