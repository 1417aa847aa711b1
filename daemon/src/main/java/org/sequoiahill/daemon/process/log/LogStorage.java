package org.sequoiahill.daemon.process.log;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.protocol.gen.LogFolderIdentity;
import org.sequoiahill.protocol.gen.LogSegmentHeader;
import org.sequoiahill.protocol.gen.LogSnapshotHeader;

/**
 * Keeps the state of one group in a folder: an identity, one segment of the log, one snapshot.
 *
 * <p>All that one call stores is one record, synced before the call returns. After a failure the
 * storage takes nothing more, since what the disk then holds is not known.
 */
public final class LogStorage implements Closeable {
    /** Version of the files. */
    static final int FORMAT_VERSION = 1;

    private final LogFolder mFolder;
    private final FolderContent mContent;
    private LogFolderIdentity mIdentity;
    private long mSequence;
    private long mSegmentLength;
    private LogFolder.@Nullable LogFile mSegment;
    private HardState mHard;
    private boolean mHasFailed;

    private LogStorage(LogFolder folder, FolderContent content) {
        mFolder = folder;
        mContent = content;
        mIdentity = content.identity();
        mSequence = content.sequence();
        mSegmentLength = content.validLength();
        mHard = content.state().hardState();
    }

    /**
     * Opens a folder and reads what it holds; a torn last record is cut off.
     *
     * @param folder files
     * @param vm VM that must own the folder
     * @param group group that must be in the folder
     * @param newIncarnation incarnation of the storage where the folder is empty, above 0
     * @throws IOException where the folder can't be read, belongs elsewhere, or is damaged
     */
    public static LogStorage open(LogFolder folder, String vm, String group, long newIncarnation)
            throws IOException {
        FolderContent content = FolderContent.read(folder, vm, group, newIncarnation);
        LogStorage storage = new LogStorage(folder, content);
        storage.mIdentity.setStarts(storage.mIdentity.getStarts() + 1);
        storage.writeIdentity();
        if (content.sequence() > 0) {
            storage.mSegment =
                    folder.openAt(segmentName(content.sequence()), content.validLength());
        }
        storage.deleteUnused(content.state().snapshot().index());
        return storage;
    }

    /** Returns what was read. */
    public StoredState state() {
        return mContent.state();
    }

    /** Returns the storage's own name. */
    public StoreId id() {
        return new StoreId(mIdentity.getVm(), mIdentity.getIncarnation());
    }

    /** Returns how often the folder has been opened, this time included. */
    public long openCount() {
        return mIdentity.getStarts();
    }

    /**
     * Stores and syncs what a step of the core asks for.
     *
     * @throws IOException where that failed; the storage must not be used any more
     */
    public void store(Outputs outputs) throws IOException {
        runGuarded(
                () -> {
                    mHard = outputs.hardState().orElse(mHard);
                    if (outputs.adoptedIncarnation().isPresent()) {
                        mIdentity.setIncarnation(outputs.adoptedIncarnation().get());
                        writeIdentity();
                    }
                    if (outputs.installedSnapshot().isPresent()) {
                        Snapshot snapshot = outputs.installedSnapshot().get();
                        writeSnapshot(snapshot);
                        rotate(snapshot, snapshot.index(), snapshot.term(), outputs.appended());
                    } else if (outputs.hasState()) {
                        appendRecord(
                                StorageCodec.encodeBatch(outputs.hardState(), outputs.appended()));
                    }
                });
    }

    /**
     * Stores a snapshot and drops what it replaces.
     *
     * @param snapshot snapshot of applied entries
     * @param baseIndex index before the first entry that stays
     * @param baseTerm term of the entry there
     * @param entries entries that stay
     */
    public void compact(Snapshot snapshot, long baseIndex, long baseTerm, Collection<Entry> entries)
            throws IOException {
        runGuarded(
                () -> {
                    writeSnapshot(snapshot);
                    rotate(snapshot, baseIndex, baseTerm, List.copyOf(entries));
                });
    }

    @Override
    public void close() throws IOException {
        if (mSegment != null) {
            mSegment.close();
        }
        mFolder.close();
    }

    static String segmentName(long sequence) {
        return String.format("%s%016d", FolderContent.SEGMENT_PREFIX, sequence);
    }

    static String snapshotName(long index) {
        return String.format("%s%016d", FolderContent.SNAPSHOT_PREFIX, index);
    }

    /** Writes to files. */
    @FunctionalInterface
    private interface Write {
        void run() throws IOException;
    }

    private void runGuarded(Write write) throws IOException {
        if (mHasFailed) {
            throw new IOException("the storage has failed before");
        }
        mHasFailed = true;
        write.run();
        mHasFailed = false;
    }

    private void rotate(Snapshot snapshot, long baseIndex, long baseTerm, List<Entry> entries)
            throws IOException {
        LogSegmentHeader header =
                new LogSegmentHeader(
                        FORMAT_VERSION,
                        mIdentity.getVm(),
                        mIdentity.getGroup(),
                        mIdentity.getIncarnation(),
                        snapshot.index(),
                        baseIndex,
                        baseTerm);
        List<byte[]> records =
                List.of(
                        StorageCodec.encode(header),
                        StorageCodec.encodeBatch(Optional.of(mHard), entries));
        mSequence++;
        if (mSegment != null) {
            mSegment.close();
        }
        mSegmentLength = replace(segmentName(mSequence), records);
        mSegment = mFolder.openAt(segmentName(mSequence), mSegmentLength);
        if (!mIdentity.isJoined()) {
            mIdentity.setJoined(true);
            writeIdentity();
        }
        deleteUnused(snapshot.index());
    }

    private void writeSnapshot(Snapshot snapshot) throws IOException {
        LogSnapshotHeader header =
                new LogSnapshotHeader(
                        FORMAT_VERSION,
                        mIdentity.getGroup(),
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.members().toThrift());
        byte[] data = new byte[snapshot.data().remaining()];
        snapshot.data().duplicate().get(data);
        replace(snapshotName(snapshot.index()), List.of(StorageCodec.encode(header), data));
    }

    private void writeIdentity() throws IOException {
        replace(FolderContent.IDENTITY_NAME, List.of(StorageCodec.encode(mIdentity)));
    }

    /** Puts a whole file in place; returns its length. */
    private long replace(String name, List<byte[]> records) throws IOException {
        String temporary = FolderContent.TEMPORARY_PREFIX + name;
        long offset = 0;
        try (LogFolder.LogFile file = mFolder.create(temporary)) {
            for (byte[] record : records) {
                offset += writeFully(file, RecordFrame.of(offset, record));
            }
            file.sync();
        }
        mFolder.rename(temporary, name);
        mFolder.sync();
        return offset;
    }

    private void appendRecord(byte[] record) throws IOException {
        if (mSegment == null) {
            throw new IOException("a store that has joined no group has no log");
        }
        mSegmentLength += writeFully(mSegment, RecordFrame.of(mSegmentLength, record));
        mSegment.sync();
    }

    private static int writeFully(LogFolder.LogFile file, ByteBuffer bytes) throws IOException {
        int length = bytes.remaining();
        while (bytes.hasRemaining()) {
            if (file.write(bytes) <= 0) {
                throw new IOException("nothing could be written");
            }
        }
        return length;
    }

    private void deleteUnused(long snapshotIndex) throws IOException {
        List<String> kept = new ArrayList<>();
        kept.add(FolderContent.IDENTITY_NAME);
        kept.add(segmentName(mSequence));
        kept.add(snapshotName(snapshotIndex));
        for (String name : mFolder.names()) {
            if (!kept.contains(name)) {
                mFolder.delete(name);
            }
        }
    }
}
