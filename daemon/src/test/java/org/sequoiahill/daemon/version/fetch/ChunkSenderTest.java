package org.sequoiahill.daemon.version.fetch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiahill.daemon.version.cache.ChunkStore.Location;

class ChunkSenderTest {
    private static final int BYTES = 150_000;
    private static final int RATE = 1 << 30;
    private static final int TIMEOUT_SECONDS = 30;

    @TempDir private Path mFolder;

    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private final ChunkSender mSender =
            ChunkSender.of(
                    TokenBucket.of(() -> Duration.ZERO, RATE, Duration.ofSeconds(1)),
                    TransferCounts.create(),
                    mScheduler);

    @AfterEach
    void stop() {
        mScheduler.shutdownNow();
    }

    @Test
    void send_responseAcceptsAll_completes() throws Exception {
        CompletableFuture<Void> sent = mSender.send(chunk(), response(false));

        sent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

        assertThat(sent.isCompletedExceptionally(), is(false));
    }

    @Test
    void send_responseThrows_fails() throws Exception {
        CompletableFuture<Void> sent = mSender.send(chunk(), response(true));

        ExecutionException failure =
                assertThrows(
                        ExecutionException.class,
                        () -> sent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));

        assertThat(failure.getCause(), instanceOf(IllegalStateException.class));
    }

    private Location chunk() throws IOException {
        Path file = mFolder.resolve("model.bin");
        Files.write(file, new byte[BYTES]);
        return new Location(file, 0, BYTES);
    }

    /** Returns a response that accepts each write, or throws at each write. */
    private static Response response(boolean isBroken) {
        HttpFields.Mutable headers = HttpFields.build();
        return (Response)
                Proxy.newProxyInstance(
                        ChunkSenderTest.class.getClassLoader(),
                        new Class<?>[] {Response.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("getHeaders")) {
                                return headers;
                            }
                            if (isBroken) {
                                throw new IllegalStateException("last already written");
                            }
                            ((Callback) arguments[2]).succeeded();
                            return null;
                        });
    }
}
