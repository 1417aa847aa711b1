package org.sequoiahill.daemon.request;

import java.net.ConnectException;
import java.net.ProtocolException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ConnectionKind;
import org.sequoiahill.daemon.connection.ConnectionUse;
import org.sequoiahill.daemon.connection.EventStreamSource;
import org.sequoiahill.daemon.connection.ExchangeLostException;
import org.sequoiahill.daemon.connection.FailureSignalingSource;
import org.tinylog.Logger;

/** Forwards a buffered request and streams its response back with backpressure. */
public final class HttpForwarder {
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";
    private static final int LAST_STATUS = 599;

    private final HttpClient mClient;

    private HttpForwarder(HttpClient client) {
        mClient = client;
    }

    /** Returns a forwarder that uses {@code client}, which must be started. */
    public static HttpForwarder over(HttpClient client) {
        return new HttpForwarder(client);
    }

    /**
     * A request to forward.
     *
     * @param method HTTP method
     * @param target URI to send to
     * @param pathAndQuery path and query to send unchanged, which need not be valid in a URI and
     *     must not begin with two slashes; empty for the target's own
     * @param headers headers; hop-by-hop ones are not forwarded
     * @param body complete body
     * @param timeout time until the response must be complete
     * @param host value of the Host header; empty for the target's own host
     * @param kind kind of connection that the request may use
     */
    public record Call(
            String method,
            URI target,
            Optional<String> pathAndQuery,
            HttpFields headers,
            ByteBuffer body,
            Duration timeout,
            Optional<String> host,
            ConnectionKind kind) {
        /** Returns a call with the target's own host on an ordinary connection. */
        public static Call of(
                String method, URI target, HttpFields headers, ByteBuffer body, Duration timeout) {
            return new Call(
                    method,
                    target,
                    Optional.empty(),
                    headers,
                    body,
                    timeout,
                    Optional.empty(),
                    ConnectionKind.ORDINARY);
        }
    }

    /**
     * Receives the result of a call: a response or a failure, and a failure of a started response.
     */
    public interface Listener {
        /** Called with the connection of a call before any byte is sent. */
        default void onBegin(ConnectionUse connection) {}

        /**
         * Called once the response's headers have arrived; must read {@code content}, which fails
         * if the response does, or if it is a truncated event stream.
         */
        void onResponse(Response response, Content.Source content);

        /**
         * Called if a call fails before its response's headers have arrived.
         *
         * @param isNotRun whether the request has certainly not run
         */
        void onFailure(Throwable failure, boolean isNotRun);

        /** Called if a response fails after its headers have arrived; its content fails too. */
        default void onResponseFailure(Throwable failure) {}
    }

    /**
     * Sends a call; calls the listener on the client's threads.
     *
     * @return the request, by which the call can be aborted
     */
    public Request send(Call call, Listener listener) {
        AtomicBoolean hasBegun = new AtomicBoolean();
        AtomicReference<@Nullable FailureSignalingSource> received = new AtomicReference<>();
        Request request =
                mClient.newRequest(call.target())
                        .method(call.method())
                        .headers(fields -> copyHeaders(call, fields))
                        .onRequestBegin(
                                started -> {
                                    hasBegun.set(true);
                                    ConnectionUse connection = ConnectionUse.of(started);
                                    if (connection != null) {
                                        listener.onBegin(connection);
                                    }
                                })
                        .idleTimeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS)
                        .timeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS);
        call.pathAndQuery().ifPresent(request::path);
        if (!call.kind().equals(ConnectionKind.ORDINARY)) {
            request.tag(call.kind());
        }
        String contentType = call.headers().get("Content-Type");
        if (call.body().hasRemaining()) {
            request.body(
                    new ByteBufferRequestContent(
                            contentType == null ? DEFAULT_CONTENT_TYPE : contentType,
                            call.body().slice()));
        }
        request.onResponseContentSource(
                (response, content) -> {
                    if (!isFinal(response.getStatus())) {
                        response.abort(
                                new ProtocolException(
                                        "the response's status "
                                                + response.getStatus()
                                                + " is not a final one of HTTP"));
                        return;
                    }
                    FailureSignalingSource source = FailureSignalingSource.over(content);
                    received.set(source);
                    listener.onResponse(response, EventStreamSource.checkEnd(response, source));
                });
        request.send(
                result -> {
                    FailureSignalingSource source = received.get();
                    if (source == null && result.isFailed()) {
                        Throwable failure = result.getFailure();
                        listener.onFailure(failure, !hasBegun.get() || isNotRun(failure));
                    } else if (source != null && result.getResponseFailure() != null) {
                        source.signalFailure(result.getResponseFailure());
                        listener.onResponseFailure(result.getResponseFailure());
                    }
                });
        return request;
    }

    private static void copyHeaders(Call call, HttpFields.Mutable fields) {
        copyEndToEnd(call.headers(), fields::add);
        call.host().ifPresent(host -> fields.put(HttpHeader.HOST, host));
    }

    /**
     * Copies an endpoint's response to the caller's response and completes the callback at its end.
     *
     * <p>Status and headers are copied with the first bytes of the body. So if the endpoint's
     * response fails before them, nothing of it is sent, and the request is refused instead.
     */
    public static void relay(
            Response received,
            Content.Source content,
            org.eclipse.jetty.server.Response response,
            Callback callback) {
        Content.copy(
                content,
                (isLast, bytes, written) -> {
                    if (!response.isCommitted()) {
                        copyHead(received, response);
                    }
                    response.write(isLast, bytes, written);
                },
                Callback.from(
                        callback::succeeded, failure -> failOrRefuse(failure, response, callback)));
    }

    private static void failOrRefuse(
            Throwable failure, org.eclipse.jetty.server.Response response, Callback callback) {
        if (response.isCommitted()) {
            callback.failed(failure);
            return;
        }
        Logger.info("a response failed before the first byte of its body: {}", failure.toString());
        Refusal.endpointLost(failure).write(response, callback);
    }

    /**
     * Copies status and end-to-end headers except the request id, which is valid only between this
     * process and the sender of {@code received}.
     */
    public static void copyHead(Response received, org.eclipse.jetty.server.Response response) {
        response.setStatus(received.getStatus());
        copyEndToEnd(
                received.getHeaders(),
                field -> {
                    if (!field.getName().equalsIgnoreCase(RequestHeaders.REQUEST_ID)) {
                        response.getHeaders().add(field);
                    }
                });
    }

    /** Returns whether HTTP defines a status as that of a complete response. */
    private static boolean isFinal(int status) {
        return status >= HttpStatus.OK_200 && status <= LAST_STATUS;
    }

    private static boolean isNotRun(Throwable failure) {
        return failure instanceof ConnectException
                || (failure instanceof ExchangeLostException lost && lost.isNotRun());
    }

    private static void copyEndToEnd(HttpFields fields, Consumer<HttpField> target) {
        for (HttpField field : fields) {
            if (!RequestHeaders.HOP_BY_HOP.contains(field.getName().toLowerCase(Locale.ROOT))) {
                target.accept(field);
            }
        }
    }
}
