package org.sequoiahill.daemon.process.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Replaces files whole, so that a crash leaves the old content or the new one. */
public final class SyncedFiles {
    private static final String NEXT_SUFFIX = ".next";

    private SyncedFiles() {}

    /**
     * Replaces the content of a file; it has reached the disk when the call returns.
     *
     * @param file the file, in a folder that is made where it is missing
     * @throws IOException where the file can't be written; the old content is still there
     */
    public static void replace(Path file, ByteBuffer content) throws IOException {
        Path absolute = file.toAbsolutePath();
        Path folder = absolute.getParent();
        if (folder == null) {
            throw new IOException(file + " is no file in a folder");
        }
        Files.createDirectories(folder);
        Path next = absolute.resolveSibling(absolute.getFileName() + NEXT_SUFFIX);
        write(next, content);
        Files.move(next, absolute, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(folder);
    }

    /** Syncs the entries of a folder. */
    public static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void write(Path file, ByteBuffer content) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            while (content.hasRemaining()) {
                channel.write(content);
            }
            channel.force(true);
        }
    }
}
