package org.sequoiahill.daemon.version;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.Chunk;
import org.sequoiahill.protocol.weights.Manifest.WeightFile;

/** Chunks of weights on this VM's disk; each is checked before it is kept. */
public final class ChunkStore {
    private static final int COPY_BUFFER_BYTES = 1 << 20;

    private final Path mFolder;
    private final Map<String, Location> mHeld = new ConcurrentHashMap<>();

    private ChunkStore(Path folder) {
        mFolder = folder;
    }

    /** Returns a store in a folder. */
    public static ChunkStore in(Path folder) {
        return new ChunkStore(folder);
    }

    /** Returns the folder of a version; its files are whole only after {@link #verify}. */
    public Path folderOf(Manifest manifest) {
        return mFolder.resolve(manifest.digest());
    }

    /** Returns whether a chunk is held. */
    public boolean holds(String digest) {
        return mHeld.containsKey(digest);
    }

    /** Returns how many chunks of a version are held. */
    public int heldOf(Manifest manifest) {
        return (int) manifest.chunks().stream().filter(c -> holds(c.digest())).count();
    }

    /** Returns the bytes of a chunk that is held. */
    public Optional<byte[]> read(String digest) throws IOException {
        Location location = mHeld.get(digest);
        if (location == null) {
            return Optional.empty();
        }
        try (FileChannel channel = FileChannel.open(location.file(), StandardOpenOption.READ)) {
            ByteBuffer buffer = ByteBuffer.allocate(location.bytes());
            long position = location.offset();
            while (buffer.hasRemaining()) {
                int read = channel.read(buffer, position);
                if (read < 0) {
                    return Optional.empty();
                }
                position += read;
            }
            return Optional.of(buffer.array());
        }
    }

    /**
     * Keeps a chunk if its bytes have the digest.
     *
     * @return whether the bytes were right
     */
    public boolean offer(Manifest manifest, Chunk chunk, byte[] bytes) throws IOException {
        if (bytes.length != chunk.bytes() || !Digests.of(bytes).equals(chunk.digest())) {
            return false;
        }
        Path file = folderOf(manifest).resolve(chunk.file());
        Files.createDirectories(folderOf(manifest));
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            long position = chunk.offset();
            while (buffer.hasRemaining()) {
                position += channel.write(buffer, position);
            }
        }
        mHeld.put(chunk.digest(), new Location(file, chunk.offset(), chunk.bytes()));
        return true;
    }

    /** Checks every whole file of a version and writes its manifest beside them. */
    public boolean verify(Manifest manifest) throws IOException {
        for (WeightFile file : manifest.files()) {
            if (!digestOf(folderOf(manifest).resolve(file.name())).equals(file.sha256())) {
                return false;
            }
        }
        Files.writeString(folderOf(manifest).resolve("manifest.json"), manifest.toJson());
        return true;
    }

    private static String digestOf(Path file) throws IOException {
        MessageDigest digest = Digests.sha256();
        ByteBuffer buffer = ByteBuffer.allocate(COPY_BUFFER_BYTES);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            while (channel.read(buffer) >= 0) {
                buffer.flip();
                digest.update(buffer);
                buffer.clear();
            }
        }
        return Digests.hex(digest.digest());
    }

    private record Location(Path file, long offset, int bytes) {}
}
