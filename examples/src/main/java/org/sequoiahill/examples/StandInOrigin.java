package org.sequoiahill.examples;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A stand-in weight store: files of a folder by HTTP, with ranges, and a count of bytes sent. */
public final class StandInOrigin {
    private StandInOrigin() {}

    private static final class Arguments {
        @Parameter(names = "--listen", required = true)
        private String mListen = "";

        @Parameter(names = "--folder", required = true)
        private String mFolder = "";
    }

    /** Runs the stand-in until it is ended. */
    public static void main(String[] args) throws Exception {
        Arguments arguments = new Arguments();
        StandInServer.parse("stand-in-origin", arguments, args);
        StandInServer.start(arguments.mListen, new FileHandler(Path.of(arguments.mFolder))).join();
    }

    private static final class FileHandler extends Handler.Abstract {
        private static final Pattern RANGE = Pattern.compile("bytes=([0-9]{1,18})-([0-9]{1,18})");
        private static final JsonMapper MAPPER = JsonMapper.builder().build();

        private final Path mFolder;
        private final Map<String, AtomicLong> mSent = new ConcurrentHashMap<>();

        FileHandler(Path folder) {
            mFolder = folder;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws IOException {
            String path = Request.getPathInContext(request);
            if (path.equals("/admin/sent")) {
                ObjectNode sent = MAPPER.createObjectNode();
                mSent.forEach((key, bytes) -> sent.put(key, bytes.get()));
                StandInServer.json(response, callback, 200, sent);
                return true;
            }
            Path file = mFolder.resolve(path.substring(1)).normalize();
            if (!file.startsWith(mFolder) || !Files.isRegularFile(file)) {
                StandInServer.json(response, callback, 404, "{}");
                return true;
            }
            String range = request.getHeaders().get(HttpHeader.RANGE);
            send(path, file, range, response, callback);
            return true;
        }

        private void send(
                String path, Path file, String range, Response response, Callback callback)
                throws IOException {
            try (FileChannel channel = FileChannel.open(file)) {
                long first = 0;
                long last = channel.size() - 1;
                Matcher matcher = RANGE.matcher(range == null ? "" : range);
                if (matcher.matches()) {
                    first = Long.parseLong(matcher.group(1));
                    last = Math.min(last, Long.parseLong(matcher.group(2)));
                    response.setStatus(206);
                }
                ByteBuffer bytes = ByteBuffer.allocate((int) (last - first + 1));
                while (bytes.hasRemaining() && channel.read(bytes, first + bytes.position()) >= 0) {
                    // Reads on until the range is in memory.
                }
                mSent.computeIfAbsent(path, key -> new AtomicLong()).addAndGet(bytes.position());
                response.write(true, bytes.flip(), callback);
            }
        }
    }
}
