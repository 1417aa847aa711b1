package org.sequoiahill.daemon.version.cache;

import java.nio.file.Path;
import java.util.List;
import org.sequoiahill.protocol.weights.Manifest;

/** A version in the store: its manifest and a slot for each chunk. */
final class StoredVersion {
    private final Manifest mManifest;
    private final List<ChunkSlot> mSlots;
    private volatile long mLastUse;

    private StoredVersion(Manifest manifest, List<ChunkSlot> slots) {
        mManifest = manifest;
        mSlots = slots;
    }

    static StoredVersion of(Manifest manifest, Path folder) {
        List<ChunkSlot> slots =
                manifest.chunks().stream()
                        .map(chunk -> new ChunkSlot(folder.resolve(chunk.file()), chunk))
                        .toList();
        return new StoredVersion(manifest, slots);
    }

    Manifest manifest() {
        return mManifest;
    }

    List<ChunkSlot> slots() {
        return mSlots;
    }

    long lastUse() {
        return mLastUse;
    }

    void use(long useNumber) {
        mLastUse = useNumber;
    }
}
