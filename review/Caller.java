package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.UUID;

/** A client's request to an entry. */
final class Caller {
    private Caller() {}

    /** Answer of an entry; status 0 if the connection ended or the time passed without one. */
    record Answer(int status, boolean isSealed, int length, String reason) {}

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** Sends one request on a new connection and waits for its answer until the deadline. */
    static Answer send(
            Lab.Daemon entry,
            String method,
            String host,
            String path,
            String id,
            String headers,
            byte[] body,
            int deadlineMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, Lab.CALLERS_PORT), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(deadlineMillis);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
                            + "X-Sequoiahill-Attempt-Id: " + id + "\r\n"
                            + "X-Sequoiahill-Deadline-Ms: " + deadlineMillis + "\r\n"
                            + "Content-Length: " + body.length + "\r\n" + headers + "\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException | RuntimeException e) {
            return new Answer(0, false, 0, e.toString());
        }
    }

    /** Reads an answer whose body has a length. */
    static Answer read(InputStream in) throws IOException {
        String line = readLine(in);
        int status = Integer.parseInt(line.split(" ")[1]);
        boolean isSealed = false;
        int length = 0;
        String reason = "";
        for (line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            String lower = line.toLowerCase(Locale.ROOT);
            isSealed |= lower.startsWith("x-sequoiahill-server-seal:");
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the answer ended early");
        }
        if (!isSealed) {
            reason = new String(body, StandardCharsets.UTF_8);
        }
        return new Answer(status, isSealed, length, reason);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended without an answer");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
