package org.sequoiahill.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Status and headers of a response that this process composes, such as a recorded response or an
 * endpoint's response with headers added.
 *
 * @param status HTTP status
 * @param headers headers
 */
public record ResponseHead(int status, HttpFields headers) implements Response {
    @Override
    public @Nullable Request getRequest() {
        return null;
    }

    @Override
    public HttpVersion getVersion() {
        return HttpVersion.HTTP_1_1;
    }

    @Override
    public int getStatus() {
        return status;
    }

    @Override
    public @Nullable String getReason() {
        return null;
    }

    @Override
    public HttpFields getHeaders() {
        return headers;
    }

    @Override
    public @Nullable HttpFields getTrailers() {
        return null;
    }

    @Override
    public CompletableFuture<Boolean> abort(Throwable cause) {
        return CompletableFuture.completedFuture(false);
    }
}
