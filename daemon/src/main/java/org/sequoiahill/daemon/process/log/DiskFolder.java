package org.sequoiahill.daemon.process.log;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder on a disk, locked against use by a second process. */
public final class DiskFolder implements LogFolder {
    private static final String LOCK_NAME = "lock";

    private final Path mPath;
    private final FileChannel mLock;

    private DiskFolder(Path path, FileChannel lock) {
        mPath = path;
        mLock = lock;
    }

    /**
     * Opens a folder at or below a data folder; creates what doesn't exist.
     *
     * <p>Syncs the names of the folders below the data folder even if they exist: the process that
     * created them may have been killed before it did.
     *
     * @param names names of the folders on the way from the data folder
     * @throws IOException if it can't be created or is open already, in this or another process
     */
    public static DiskFolder open(Path dataFolder, String... names) throws IOException {
        createDurably(dataFolder.toAbsolutePath());
        Path path = dataFolder;
        for (String name : names) {
            Path parent = path;
            path = parent.resolve(name);
            Files.createDirectories(path);
            syncFolder(parent);
        }
        FileChannel lock =
                FileChannel.open(
                        path.resolve(LOCK_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!tryLock(lock)) {
            lock.close();
            throw new IOException(path + " is open already, in this or another process");
        }
        return new DiskFolder(path, lock);
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(mPath)) {
            return files.map(file -> String.valueOf(file.getFileName()))
                    .filter(name -> !name.equals(LOCK_NAME))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(mPath.resolve(name));
    }

    @Override
    public LogFile create(String name) throws IOException {
        return new DiskFile(
                FileChannel.open(
                        mPath.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE));
    }

    @Override
    public LogFile openAt(String name, long writtenAgainFrom, long length) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        mPath.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            channel.truncate(length);
            writeAgain(channel, writtenAgainFrom, length);
            channel.position(length);
            channel.force(true);
            return new DiskFile(channel);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private static void writeAgain(FileChannel channel, long from, long to) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate((int) (to - from));
        while (bytes.hasRemaining()) {
            if (channel.read(bytes, from + bytes.position()) < 0) {
                throw new EOFException("a file of the log folder became shorter while it was read");
            }
        }
        bytes.flip();
        while (bytes.hasRemaining()) {
            channel.write(bytes, from + bytes.position());
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(mPath.resolve(from), mPath.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(mPath.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        syncFolder(mPath);
    }

    @Override
    public void close() throws IOException {
        mLock.close();
    }

    /** Creates a folder with its parents, and syncs the entry of each in its parent. */
    private static void createDurably(Path path) throws IOException {
        if (Files.isDirectory(path)) {
            return;
        }
        Path parent = path.getParent();
        if (parent == null) {
            throw new IOException(path + " can't be created");
        }
        createDurably(parent);
        Files.createDirectories(path);
        syncFolder(parent);
    }

    private static void syncFolder(Path path) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    private record DiskFile(FileChannel channel) implements LogFile {
        @Override
        public int write(ByteBuffer bytes) throws IOException {
            return channel.write(bytes);
        }

        @Override
        public void sync() throws IOException {
            channel.force(true);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
