package org.sequoiahill.daemon.version;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves chunks that this agent holds to other agents, at {@code /chunks/DIGEST}. */
public final class ChunkHandler extends Handler.Abstract {
    private static final String PREFIX = "/chunks/";

    private final ChunkStore mStore;

    private ChunkHandler(ChunkStore store) {
        mStore = store;
    }

    /** Returns a handler over a store of chunks. */
    public static ChunkHandler over(ChunkStore store) {
        return new ChunkHandler(store);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback)
            throws IOException {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        Optional<byte[]> bytes = mStore.read(path.substring(PREFIX.length()));
        if (bytes.isEmpty()) {
            Response.writeError(request, response, callback, HttpStatus.NOT_FOUND_404);
            return true;
        }
        response.write(true, ByteBuffer.wrap(bytes.get()), callback);
        return true;
    }
}
