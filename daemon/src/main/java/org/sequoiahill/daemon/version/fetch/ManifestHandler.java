package org.sequoiahill.daemon.version.fetch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.version.cache.ChunkStore;
import org.sequoiahill.protocol.weights.Manifest;

/** Serves other agents the manifests that this agent holds, at {@code /manifests/DIGEST}. */
public final class ManifestHandler extends Handler.Abstract {
    private static final String PREFIX = "/manifests/";

    private final ChunkStore mStore;

    private ManifestHandler(ChunkStore store) {
        mStore = store;
    }

    /** Returns a handler that serves the manifests of a store. */
    public static ManifestHandler over(ChunkStore store) {
        return new ManifestHandler(store);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        Optional<Manifest> manifest = mStore.manifest(path.substring(PREFIX.length()));
        if (manifest.isEmpty()) {
            Response.writeError(request, response, callback, HttpStatus.NOT_FOUND_404);
            return true;
        }
        byte[] bytes = manifest.get().toJson().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(bytes), callback);
        return true;
    }
}
