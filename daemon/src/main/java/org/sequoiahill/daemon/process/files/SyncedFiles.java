package org.sequoiahill.daemon.process.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Replaces files atomically: after a crash a file has either its old or its new content. */
public final class SyncedFiles {
    private static final String NEXT_SUFFIX = ".next";

    private SyncedFiles() {}

    /**
     * Replaces the content of a file; it is durable once the call returns.
     *
     * @param file the file; its folder is created if it doesn't exist
     * @throws IOException if the content can't be made durable; the file then has its old content,
     *     or the new one if only the sync of the folder failed
     */
    public static void replace(Path file, ByteBuffer content) throws IOException {
        Path absolute = file.toAbsolutePath();
        Path folder = absolute.getParent();
        if (folder == null) {
            throw new IOException(file + " has no parent folder");
        }
        Files.createDirectories(folder);
        Path next = absolute.resolveSibling(absolute.getFileName() + NEXT_SUFFIX);
        write(next, content);
        Files.move(next, absolute, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(folder);
    }

    /** Syncs which names a folder contains. */
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
