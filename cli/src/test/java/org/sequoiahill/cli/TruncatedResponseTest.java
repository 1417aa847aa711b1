package org.sequoiahill.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that commands don't report success on truncated or inconsistent responses. */
final class TruncatedResponseTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                // status, Content-Length if present, body; expected exit code
                "200 OK|2|[]|OK",
                "200 OK||[]|OK",
                "200 OK|0|~~|FAILED",
                "200 OK||~~|FAILED",
                "200 OK|50|[]|UNAVAILABLE",
                "200 OK||[{|FAILED",
                "200 OK||[][]|FAILED",
                "503 Busy|0|~~|UNAVAILABLE"
            })
    void list_truncatedResponse_isNotSuccess(
            String status, Integer length, String body, ExitCode expected) throws Exception {
        String head = length == null ? "" : "Content-Length: " + length + "\r\n";
        assertThat(
                run("service list", "HTTP/1.1 " + status + "\r\n" + head + "\r\n" + body),
                is(expected));
    }

    @ParameterizedTest
    @CsvSource({
        // lastSequence and hasMore of the first page, the same of the second; expected exit code
        "4, true, 4, false, OK",
        "4, true, 5, false, OK",
        "4, true, 3, false, FAILED"
    })
    void audit_pagesOfDifferentServers_failIfTheTrailShrinks(
            long lastSequence,
            boolean hasMore,
            long nextLastSequence,
            boolean nextHasMore,
            ExitCode expected)
            throws Exception {
        assertThat(
                run("audit", page(lastSequence, hasMore), page(nextLastSequence, nextHasMore)),
                is(expected));
    }

    private static String page(long lastSequence, boolean hasMore) {
        return ("HTTP/1.1 200 OK\r\n\r\n{'entries':[],'firstSequence':1,'lastSequence':%d,"
                        + "'lastHash':'','hasMore':%b}")
                .formatted(lastSequence, hasMore)
                .replace('\'', '"');
    }

    /** Runs a command against a daemon that sends these responses, one per connection. */
    private static ExitCode run(String command, String... responses) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Thread thread = new Thread(() -> respond(server, List.of(responses)), "daemon");
            thread.setDaemon(true);
            thread.start();
            String address = "127.0.0.1:" + server.getLocalPort();
            return new SequoiaCli().run((command + " --server " + address).split(" ", -1));
        }
    }

    private static void respond(ServerSocket server, List<String> responses) {
        for (String response : responses) {
            try (Socket socket = server.accept()) {
                BufferedReader reader =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = reader.readLine();
                while (line != null && !line.isEmpty()) {
                    line = reader.readLine();
                }
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The test has ended.
            }
        }
    }
}
