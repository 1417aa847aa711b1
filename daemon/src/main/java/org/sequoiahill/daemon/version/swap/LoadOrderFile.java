package org.sequoiahill.daemon.version.swap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.sequoiahill.daemon.process.files.SyncedFiles;
import org.tinylog.Logger;

/** Persists the last load order of this VM's agent across restarts of the agent. */
public final class LoadOrderFile {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Path mFile;

    private LoadOrderFile(Path file) {
        mFile = file;
    }

    /** Returns the load order file at a path, which need not exist yet. */
    public static LoadOrderFile in(Path file) {
        return new LoadOrderFile(file);
    }

    /**
     * Returns the last order; empty if there is no file. If the file can't be read, returns an
     * order with an empty version, as some order may have been sent.
     */
    public Optional<LoadOrder> load() {
        if (!Files.exists(mFile)) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(mFile.toFile());
            return Optional.of(
                    new LoadOrder(node.path("version").asText(), node.path("fence").asLong()));
        } catch (IOException e) {
            Logger.warn("can't read the last load order, so assuming that one was sent: {}", e);
            return Optional.of(new LoadOrder("", 0));
        }
    }

    /** Writes an order; call this before sending it. */
    public void save(LoadOrder order) throws IOException {
        String text =
                MAPPER.createObjectNode()
                        .put("version", order.version())
                        .put("fence", order.fence())
                        .toString();
        SyncedFiles.replace(mFile, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
}
