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

/** The last order of this VM's agent, kept over restarts of the agent. */
public final class LoadOrderFile {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Path mFile;

    private LoadOrderFile(Path file) {
        mFile = file;
    }

    /** Returns the record in a file. */
    public static LoadOrderFile in(Path file) {
        return new LoadOrderFile(file);
    }

    /** Returns the last order; one that can't be read counts as an unknown order. */
    public Optional<LoadOrder> load() {
        if (!Files.exists(mFile)) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(mFile.toFile());
            return Optional.of(
                    new LoadOrder(node.path("version").asText(), node.path("fence").asLong()));
        } catch (IOException e) {
            Logger.warn("the record of the last order can't be read: {}", e);
            return Optional.of(new LoadOrder("", 0));
        }
    }

    /** Writes an order before it is sent. */
    public void save(LoadOrder order) throws IOException {
        String text =
                MAPPER.createObjectNode()
                        .put("version", order.version())
                        .put("fence", order.fence())
                        .toString();
        SyncedFiles.replace(mFile, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
}
