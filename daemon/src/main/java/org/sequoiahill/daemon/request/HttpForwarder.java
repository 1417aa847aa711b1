package org.sequoiahill.daemon.request;

import java.net.ConnectException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.ConnectionKind;
import org.sequoiahill.daemon.connection.ConnectionUse;
import org.sequoiahill.daemon.connection.ExchangeLostException;
import org.tinylog.Logger;

/** Sends one buffered request on and streams its answer back with backpressure. */
public final class HttpForwarder {
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private final HttpClient mClient;

    private HttpForwarder(HttpClient client) {
        mClient = client;
    }

    /** Returns a forwarder over a started client. */
    public static HttpForwarder over(HttpClient client) {
        return new HttpForwarder(client);
    }

    /**
     * A request to send on.
     *
     * @param method HTTP method
     * @param target where to
     * @param headers headers, of which those of the connection are left out
     * @param body whole body
     * @param timeout time until the whole answer must have come
     * @param host host that the caller named, where the endpoint must see it
     * @param kind kind of the connection that it may go on
     */
    public record Call(
            String method,
            URI target,
            HttpFields headers,
            ByteBuffer body,
            Duration timeout,
            Optional<String> host,
            ConnectionKind kind) {
        /** Returns a call that names the target's own host. */
        public static Call of(
                String method, URI target, HttpFields headers, ByteBuffer body, Duration timeout) {
            return new Call(
                    method,
                    target,
                    headers,
                    body,
                    timeout,
                    Optional.empty(),
                    ConnectionKind.ORDINARY);
        }
    }

    /**
     * Receives what becomes of a call: an answer or a failure, and whether the answer broke off.
     */
    public interface Listener {
        /** Takes the connection on which a call goes, before any byte is sent. */
        default void onBegin(ConnectionUse connection) {}

        /** Decides on an answer whose headers have come; {@code content} must be read. */
        void onResponse(Response answer, Content.Source content);

        /** Takes a call that failed before any byte of an answer. */
        void onFailure(Throwable failure, boolean isNotRun);

        /**
         * Takes an answer that broke off. The content says so too, but not always: a failure that
         * comes while the answer's headers are handled can be lost to a reader that asks for
         * content at that moment.
         */
        default void onResponseFailure(Throwable failure) {}
    }

    /**
     * Sends a call; the listener is called from the client's threads.
     *
     * @return the request, by which the call can be aborted
     */
    public Request send(Call call, Listener listener) {
        AtomicBoolean begun = new AtomicBoolean();
        AtomicBoolean answered = new AtomicBoolean();
        Request request =
                mClient.newRequest(call.target())
                        .method(call.method())
                        .headers(fields -> copyHeaders(call, fields))
                        .onRequestBegin(
                                started -> {
                                    begun.set(true);
                                    ConnectionUse connection = ConnectionUse.of(started);
                                    if (connection != null) {
                                        listener.onBegin(connection);
                                    }
                                })
                        .idleTimeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS)
                        .timeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS);
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
                (answer, content) -> {
                    answered.set(true);
                    listener.onResponse(answer, content);
                });
        request.send(
                result -> {
                    if (result.isFailed() && !answered.get()) {
                        Throwable failure = result.getFailure();
                        listener.onFailure(failure, !begun.get() || isNotRun(failure));
                    } else if (result.getResponseFailure() != null) {
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
     * Copies an answer to the caller's response and completes the callback at its end.
     *
     * <p>The response takes the head with the first bytes, so that an answer that breaks off before
     * them leaves nothing behind, and is refused.
     */
    public static void relay(
            Response answer,
            Content.Source content,
            org.eclipse.jetty.server.Response response,
            Callback callback) {
        Content.copy(
                content,
                (isLast, bytes, written) -> {
                    if (!response.isCommitted()) {
                        copyHead(answer, response);
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
        Logger.info("an answer broke off before its first byte: {}", failure.toString());
        Refusal.endpointLost(failure).write(response, callback);
    }

    /** Copies status and headers, but the identity, which belongs to the asked side's hop. */
    public static void copyHead(Response answer, org.eclipse.jetty.server.Response response) {
        response.setStatus(answer.getStatus());
        copyEndToEnd(
                answer.getHeaders(),
                field -> {
                    if (!field.getName().equalsIgnoreCase(RequestHeaders.REQUEST_ID)) {
                        response.getHeaders().add(field);
                    }
                });
    }

    private static boolean isNotRun(Throwable failure) {
        return failure instanceof ConnectException
                || (failure instanceof ExchangeLostException lost && lost.isNotRun());
    }

    private static void copyEndToEnd(HttpFields fields, Consumer<HttpField> to) {
        for (HttpField field : fields) {
            if (!RequestHeaders.HOP_BY_HOP.contains(field.getName().toLowerCase(Locale.ROOT))) {
                to.accept(field);
            }
        }
    }
}
