package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of a route of streams. */
final class StreamCaller {
    private StreamCaller() {}

    /**
     * Sends a request on a new connection and reads the stream to its end; returns the status, or 0
     * if there was none until the deadline.
     */
    static int send(
            Lab.Daemon entry, String path, String id, String headers, int deadlineMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, Lab.CALLERS_PORT), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(deadlineMillis);
            String request =
                    "POST " + path + " HTTP/1.1\r\nHost: writer.example\r\nConnection: close\r\n"
                            + "X-Sequoiahill-Attempt-Id: " + id + "\r\n"
                            + "X-Sequoiahill-Deadline-Ms: " + deadlineMillis + "\r\n"
                            + "Content-Length: 6\r\n" + headers + "\r\nprompt";
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            byte[] answer = socket.getInputStream().readAllBytes();
            String text = new String(answer, StandardCharsets.ISO_8859_1);
            return text.startsWith("HTTP/1.1 ") ? Integer.parseInt(text.substring(9, 12)) : 0;
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }
}
