package org.sequoiahill.daemon.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.startsWith;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.daemon.process.settings.SettingsReader;
import org.sequoiahill.protocol.weights.Digests;

/** Tests what operators get whose requests are running while a daemon stops. */
final class OperatorDrainTest {
    private static final String HOST = "127.0.0.1";
    private static final String TOKEN = "token";
    private static final String BODY = "{}";
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    // The daemon's other threads in this process go on writing after the stop.
    @TempDir(cleanup = CleanupMode.NEVER)
    private Path mFolder;

    @ParameterizedTest
    @ValueSource(strings = {"services/writer", "data-centres/a"})
    void stop_operatorsRequestIsRunning_getsAResponse(String document) throws Exception {
        int admin = freePort();
        int data = freePort();
        Daemon daemon =
                DaggerProcessComponent.factory()
                        .create(SettingsReader.parse(settings(admin, data)).orElseThrow())
                        .daemon();
        daemon.start();
        try (Socket socket = new Socket(HOST, admin)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            send(
                    socket,
                    "PUT /operators/"
                            + document
                            + "?replaces=0 HTTP/1.1\r\nHost: a\r\nSequoia-Change-Id: change-1\r\n"
                            + "Authorization: Bearer "
                            + TOKEN
                            + "\r\nExpect: 100-continue\r\nContent-Length: "
                            + BODY.length()
                            + "\r\n\r\n");
            BufferedReader responses = readerOf(socket);
            // The interim response shows that the request is running.
            assertThat(responses.readLine(), startsWith("HTTP/1.1 100 "));
            responses.readLine();
            daemon.stop();
            awaitNoListener(data);
            send(socket, BODY);
            assertThat(String.valueOf(responses.readLine()), startsWith("HTTP/1.1 "));
        }
        daemon.awaitStop();
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static BufferedReader readerOf(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void awaitNoListener(int port) throws IOException {
        while (true) {
            try (Socket socket = new Socket(HOST, port)) {
                Thread.onSpinWait();
            } catch (ConnectException e) {
                return;
            } catch (SocketException e) {
                // Reset by the close of the listener, which may be going on.
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    private String settings(int admin, int data) throws IOException {
        int control = freePort();
        String address = "'control':'" + HOST + ":" + control + "','data':'" + HOST + ":" + data;
        String vm = "{'vm':'vm','dataCentre':'a'," + address + "'}";
        return ("{'vm':'vm','dataCentre':'a','region':'a','roles':['entry'],"
                        + "'dataFolder':'"
                        + mFolder
                        + "','admin':'"
                        + HOST
                        + ":"
                        + admin
                        + "',"
                        + address
                        + "','entries':["
                        + vm
                        + "],'stores':["
                        + vm
                        + "],"
                        + "'drain':{'lingerMillis':0,'boundMillis':20000},"
                        + "'operators':[{'name':'o','team':'t','tokenDigest':'"
                        + Digests.of(TOKEN)
                        + "'}]}")
                .replace('\'', '"');
    }
}
