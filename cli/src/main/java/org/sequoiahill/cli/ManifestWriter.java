package org.sequoiahill.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.WeightFile;

/** Writes the manifest of a folder of weights. */
public final class ManifestWriter {
    private static final String FILE_NAME = "manifest.json";

    private ManifestWriter() {}

    /**
     * Writes {@code manifest.json} into the folder and returns the manifest. It lists the files
     * directly in the folder, without subfolders.
     */
    public static Manifest write(Path folder, String version, int chunkBytes) throws IOException {
        List<WeightFile> files = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.filter(Files::isRegularFile).sorted().toList()) {
                if (!path.endsWith(FILE_NAME)) {
                    files.add(read(path, chunkBytes));
                }
            }
        }
        Manifest manifest = new Manifest(version, chunkBytes, files);
        Files.writeString(folder.resolve(FILE_NAME), manifest.toJson());
        return manifest;
    }

    private static WeightFile read(Path path, int chunkBytes) throws IOException {
        List<String> chunks = new ArrayList<>();
        MessageDigest fileDigest = Digests.sha256();
        try (InputStream input = Files.newInputStream(path)) {
            for (byte[] chunk = input.readNBytes(chunkBytes);
                    chunk.length > 0;
                    chunk = input.readNBytes(chunkBytes)) {
                fileDigest.update(chunk);
                chunks.add(Digests.of(chunk));
            }
        }
        return new WeightFile(
                path.getFileName().toString(),
                Files.size(path),
                Digests.hex(fileDigest.digest()),
                chunks);
    }
}
