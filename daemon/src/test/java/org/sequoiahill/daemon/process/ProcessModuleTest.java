package org.sequoiahill.daemon.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of the HTTP client that {@link ProcessModule} provides. */
final class ProcessModuleTest {
    @ParameterizedTest
    @CsvSource({
        // headers of the response, whether the connection is reset, whether the response fails
        "X-Unused: 1, true, true",
        "X-Unused: 1, false, false",
        "Content-Length: 50, true, true",
        "Content-Length: 50, false, true"
    })
    void httpClient_connectionEndsAfterThreeBytes_failsUnlessThatEndsTheBody(
            String header, boolean isReset, boolean isFailed) throws Exception {
        HttpClient client = ProcessModule.httpClient();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            client.start();
            CompletableFuture<Boolean> isRead = new CompletableFuture<>();
            CompletableFuture<Result> result = new CompletableFuture<>();
            client.newRequest("http://127.0.0.1:" + server.getLocalPort())
                    .onResponseContent((response, content) -> isRead.complete(true))
                    .send(result::complete);
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                String response = "HTTP/1.1 200 OK\r\n" + header + "\r\n\r\nhel";
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                isRead.get(10, TimeUnit.SECONDS);
                // Closing a socket with unread bytes is a reset too.
                socket.getInputStream().skipNBytes(socket.getInputStream().available());
                if (isReset) {
                    socket.setSoLinger(true, 0);
                }
            }
            assertThat(result.get(10, TimeUnit.SECONDS).isFailed(), is(isFailed));
        } finally {
            client.stop();
        }
    }
}
