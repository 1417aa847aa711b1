package org.sequoiahill.daemon.process;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RequestHeaders;

/**
 * Tracks running requests and lets a server stop without interrupting any: first its responses
 * close their connections, then new requests are refused, and once no request is left the server
 * can stop.
 */
final class DrainHandler extends Handler.Wrapper {
    /** Refusal of a request that arrives once new ones are not served. */
    static final Refusal LEAVING = Refusal.unavailable("entry_leaving", "this process is stopping");

    private final Handler mRefusing;
    private final Object mLock = new Object();
    private final Set<Request> mRunning = new LinkedHashSet<>();
    private final CompletableFuture<@Nullable Void> mIdle = new CompletableFuture<>();
    private volatile boolean mIsClosingConnections;
    private boolean mIsRefusing;

    DrainHandler(Handler handler) {
        this(handler, new RefusingHandler());
    }

    /**
     * Creates a handler.
     *
     * @param handler handler of the requests that are served
     * @param refusing handler that refuses requests once new ones are not served
     */
    DrainHandler(Handler handler, Handler refusing) {
        super(handler);
        mRefusing = refusing;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        Response closingResponse = new ClosingResponse(request, response);
        if (!begin(request)) {
            return mRefusing.handle(request, closingResponse, callback);
        }
        Callback trackedCallback = Callback.from(callback, () -> end(request));
        boolean isHandled = false;
        try {
            isHandled = super.handle(request, closingResponse, trackedCallback);
        } finally {
            // If the handler throws, the server completes the request without this callback.
            if (!isHandled) {
                end(request);
            }
        }
        return isHandled;
    }

    /** Makes each response that starts from now on close its connection. */
    void closeConnections() {
        mIsClosingConnections = true;
    }

    /** Refuses new requests; completes once no request is running. */
    CompletableFuture<@Nullable Void> refuseNewRequests() {
        synchronized (mLock) {
            mIsRefusing = true;
            if (mRunning.isEmpty()) {
                mIdle.complete(null);
            }
        }
        return mIdle;
    }

    /** Refuses new requests and returns once none is running or the timeout has elapsed. */
    void drain(Duration timeout) {
        // A copy, since a timeout completes the future for all who wait for it.
        refuseNewRequests()
                .copy()
                .completeOnTimeout(null, Math.max(0, timeout.toMillis()), TimeUnit.MILLISECONDS)
                .join();
    }

    /** Returns the running requests, as method and path. */
    List<String> runningRequests() {
        List<String> running = new ArrayList<>();
        synchronized (mLock) {
            for (Request request : mRunning) {
                running.add(request.getMethod() + " " + Request.getPathInContext(request));
            }
        }
        return running;
    }

    private boolean begin(Request request) {
        synchronized (mLock) {
            return !mIsRefusing && mRunning.add(request);
        }
    }

    private void end(Request request) {
        boolean isIdle;
        synchronized (mLock) {
            mRunning.remove(request);
            isIdle = mIsRefusing && mRunning.isEmpty();
        }
        if (isIdle) {
            mIdle.complete(null);
        }
    }

    /** Refuses requests with the id that they state. */
    private static final class RefusingHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            String id = request.getHeaders().get(RequestHeaders.REQUEST_ID);
            if (id != null) {
                response.getHeaders().put(RequestHeaders.REQUEST_ID, id);
            }
            LEAVING.write(response, callback);
            return true;
        }
    }

    /** A response that closes its connection if it starts after {@link #closeConnections}. */
    private final class ClosingResponse extends Response.Wrapper {
        ClosingResponse(Request request, Response wrapped) {
            super(request, wrapped);
        }

        @Override
        public void write(boolean isLast, ByteBuffer content, Callback callback) {
            if (mIsClosingConnections && !isCommitted()) {
                getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
            }
            super.write(isLast, content, callback);
        }
    }
}
