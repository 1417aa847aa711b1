package org.sequoiahill.daemon.version.cache;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.Chunk;
import org.sequoiahill.protocol.weights.Manifest.WeightFile;
import org.tinylog.Logger;

/**
 * Stores versions of weights on this VM's disk, chunk by chunk; a chunk is held once its digest is
 * verified.
 *
 * <p>A version is named by the digest of its manifest, a chunk by its own digest or by its index in
 * a version.
 */
public final class ChunkStore {
    private static final int COPY_BUFFER_BYTES = 1 << 20;
    private static final String MANIFEST_FILE = "manifest.json";

    private final Path mFolder;
    private final long mCapacityBytes;
    private final Map<String, StoredVersion> mVersions = new ConcurrentHashMap<>();
    private final Map<String, ChunkSlot> mByDigest = new ConcurrentHashMap<>();
    private final Map<String, Set<CompletableFuture<Void>>> mWaiters = new ConcurrentHashMap<>();
    private long mUseCounter;

    private ChunkStore(Path folder, long capacityBytes) {
        mFolder = folder;
        mCapacityBytes = capacityBytes;
    }

    /**
     * Returns an empty store in a folder; {@link #recover} loads what an earlier process left
     * there.
     */
    public static ChunkStore in(Path folder, long capacityBytes) {
        return new ChunkStore(folder, capacityBytes);
    }

    /**
     * A held chunk on disk.
     *
     * @param file file that holds it
     * @param offset its first byte
     * @param bytes its size
     */
    public record Location(Path file, long offset, int bytes) {}

    /**
     * Opens the versions that an earlier process left, and marks their intact chunks as held;
     * deletes each folder that is not named after the digest of a valid manifest in it.
     */
    public void recover() throws IOException {
        Files.createDirectories(mFolder);
        List<Path> folders;
        try (Stream<Path> paths = Files.list(mFolder)) {
            folders = paths.filter(Files::isDirectory).toList();
        }
        for (Path folder : folders) {
            Optional<Manifest> manifest = readManifest(folder);
            if (manifest.isEmpty()) {
                delete(folder);
                continue;
            }
            int held = recheck(open(manifest.get()));
            Logger.info("recovered {} chunks of version {}", held, manifest.get().version());
        }
    }

    /**
     * Evicts versions as needed to make room for a version, and opens it; does neither if it does
     * not fit.
     *
     * @param needed digests of the manifests of versions that must not be evicted
     * @param former digest of the version that is evicted last; empty for none
     * @return whether the version fits beside those that must not be evicted
     */
    public synchronized boolean prepare(Manifest manifest, Set<String> needed, String former)
            throws IOException {
        String digest = manifest.digest();
        List<EvictionPlanner.CachedVersion> entries = new ArrayList<>();
        mVersions.forEach(
                (key, version) -> {
                    if (!key.equals(digest)) {
                        entries.add(
                                new EvictionPlanner.CachedVersion(
                                        key, version.manifest().totalBytes(), version.lastUse()));
                    }
                });
        Set<String> pinned = new HashSet<>(needed);
        EvictionPlanner.Plan plan =
                EvictionPlanner.plan(
                        entries, mCapacityBytes, manifest.totalBytes(), pinned, former);
        if (!plan.fits()) {
            return false;
        }
        for (String evicted : plan.evicted()) {
            evict(evicted);
        }
        open(manifest).use(++mUseCounter);
        return true;
    }

    /**
     * Returns the folder of a version; its files are complete only once {@link #verify} has
     * returned true.
     */
    public Path folderOf(String version) {
        return mFolder.resolve(version);
    }

    /** Returns the manifest of an open version. */
    public Optional<Manifest> manifest(String digest) {
        return Optional.ofNullable(mVersions.get(digest)).map(StoredVersion::manifest);
    }

    /** Returns the location of a chunk; empty if it is not held. */
    public Optional<Location> locate(String digest) {
        ChunkSlot slot = mByDigest.get(digest);
        if (slot == null || !slot.isHeld()) {
            return Optional.empty();
        }
        Chunk chunk = slot.chunk();
        return Optional.of(new Location(slot.file(), chunk.offset(), chunk.bytes()));
    }

    /**
     * Returns a future that completes once a chunk is held; the caller cancels it to stop waiting.
     */
    public CompletableFuture<Void> await(String digest) {
        CompletableFuture<Void> arrival = new CompletableFuture<>();
        mWaiters.compute(
                digest,
                (key, waiters) -> {
                    Set<CompletableFuture<Void>> all =
                            waiters == null ? ConcurrentHashMap.newKeySet() : waiters;
                    all.add(arrival);
                    return all;
                });
        arrival.whenComplete((nothing, failure) -> removeWaiter(digest, arrival));
        if (locate(digest).isPresent()) {
            completeWaiters(digest);
        }
        return arrival;
    }

    /** Returns whether a chunk of an open version is held in that version's files. */
    public boolean holds(String version, int chunk) {
        return slot(version, chunk).isHeld();
    }

    /** Returns a writer of a chunk; its first bytes supersede the previous writer. */
    public ChunkWriter writer(String version, int chunk) {
        ChunkSlot slot = slot(version, chunk);
        return new LazyWriter(slot, this::publish);
    }

    /**
     * Copies a chunk from another version or file of the store, if one holds it; returns whether
     * the chunk is now held in this version's files.
     */
    public boolean copyFromLocal(String version, int chunk) throws IOException {
        ChunkSlot slot = slot(version, chunk);
        if (slot.isHeld()) {
            return true;
        }
        Optional<Location> source = locate(slot.chunk().digest());
        if (source.isEmpty()) {
            return false;
        }
        ChunkWriter writer = slot.supersede();
        readInto(source.get(), writer::write);
        boolean isStored = writer.finish() == ChunkWriter.Outcome.STORED;
        if (isStored) {
            publish(slot);
        }
        return isStored;
    }

    /**
     * Returns whether every file of a version exists and has the digest in its manifest; if not,
     * verifies every chunk of the version again.
     */
    public boolean verify(String version) throws IOException {
        StoredVersion opened = opened(version);
        for (WeightFile file : opened.manifest().files()) {
            Path path = folderOf(version).resolve(file.name());
            if (!Files.exists(path) || !digestOf(path).equals(file.sha256())) {
                recheck(opened);
                return false;
            }
        }
        return true;
    }

    private StoredVersion open(Manifest manifest) throws IOException {
        String digest = manifest.digest();
        StoredVersion held = mVersions.get(digest);
        if (held != null) {
            return held;
        }
        Path folder = folderOf(digest);
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(MANIFEST_FILE), manifest.toJson());
        StoredVersion opened = StoredVersion.of(manifest, folder);
        mVersions.put(digest, opened);
        return opened;
    }

    private int recheck(StoredVersion version) throws IOException {
        int held = 0;
        for (ChunkSlot slot : version.slots()) {
            if (isIntact(slot)) {
                slot.markHeld();
                publish(slot);
                held++;
            } else {
                slot.markMissing();
            }
        }
        return held;
    }

    private static boolean isIntact(ChunkSlot slot) throws IOException {
        Chunk chunk = slot.chunk();
        if (!Files.exists(slot.file())) {
            return false;
        }
        MessageDigest digest = Digests.sha256();
        readInto(
                new Location(slot.file(), chunk.offset(), chunk.bytes()),
                bytes -> {
                    digest.update(bytes);
                    return true;
                });
        return Digests.hex(digest.digest()).equals(chunk.digest());
    }

    private ChunkSlot slot(String version, int chunk) {
        return opened(version).slots().get(chunk);
    }

    private StoredVersion opened(String version) {
        StoredVersion opened = mVersions.get(version);
        if (opened == null) {
            throw new IllegalStateException("version is not open: " + version);
        }
        return opened;
    }

    private void publish(ChunkSlot slot) {
        mByDigest.put(slot.chunk().digest(), slot);
        completeWaiters(slot.chunk().digest());
    }

    private void completeWaiters(String digest) {
        Set<CompletableFuture<Void>> waiters = mWaiters.remove(digest);
        if (waiters != null) {
            waiters.forEach(arrival -> arrival.complete(null));
        }
    }

    private void removeWaiter(String digest, CompletableFuture<Void> arrival) {
        mWaiters.computeIfPresent(
                digest,
                (key, waiters) -> {
                    waiters.removeIf(held -> held == arrival);
                    return waiters.isEmpty() ? null : waiters;
                });
    }

    private void evict(String digest) throws IOException {
        StoredVersion version = mVersions.remove(digest);
        if (version == null) {
            return;
        }
        version.slots().forEach(ChunkSlot::markMissing);
        mByDigest.values().removeIf(slot -> !slot.isHeld());
        delete(mFolder.resolve(digest));
        Logger.info("evicted version {} from the cache", version.manifest().version());
    }

    private static Optional<Manifest> readManifest(Path folder) throws IOException {
        Path file = folder.resolve(MANIFEST_FILE);
        if (!Files.isRegularFile(file)) {
            return Optional.empty();
        }
        ParseResult<Manifest> manifest = Manifest.parse(Files.readString(file));
        return Optional.ofNullable(manifest.value())
                .filter(value -> value.digest().equals(String.valueOf(folder.getFileName())));
    }

    private static void delete(Path folder) throws IOException {
        List<Path> paths;
        try (Stream<Path> files = Files.list(folder)) {
            paths = files.toList();
        }
        for (Path path : paths) {
            Files.delete(path);
        }
        Files.delete(folder);
    }

    private static String digestOf(Path file) throws IOException {
        MessageDigest digest = Digests.sha256();
        ByteBuffer buffer = ByteBuffer.allocate(COPY_BUFFER_BYTES);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            while (channel.read(buffer) >= 0) {
                digest.update(buffer.flip());
                buffer.clear();
            }
        }
        return Digests.hex(digest.digest());
    }

    private static void readInto(Location location, BytesSink sink) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(Math.min(COPY_BUFFER_BYTES, location.bytes()));
        long position = location.offset();
        long end = position + location.bytes();
        try (FileChannel channel = FileChannel.open(location.file(), StandardOpenOption.READ)) {
            while (position < end) {
                buffer.clear().limit((int) Math.min(buffer.capacity(), end - position));
                int read = channel.read(buffer, position);
                if (read < 0 || !sink.write(buffer.flip())) {
                    return;
                }
                position += read;
            }
        }
    }

    @FunctionalInterface
    private interface BytesSink {
        boolean write(ByteBuffer bytes) throws IOException;
    }
}
