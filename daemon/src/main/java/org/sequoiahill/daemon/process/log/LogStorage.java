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
 * Persists the state of one group in a folder: an identity, one log segment and one snapshot.
 *
 * <p>Each call syncs what it stores before it returns. Most calls append one record to the segment;
 * a new snapshot replaces the old one and starts a new segment, and a new incarnation replaces the
 * identity. After a failure the storage refuses all writes, since the content of the disk is
 * unknown.
 */
public final class LogStorage implements Closeable {
    /** Format version of the files. */
    static final int FORMAT_VERSION = 1;

    private final LogFolder mFolder;
    private final FolderContent mContent;
    private LogFolderIdentity mIdentity;
    private long mSequence;
    private long mSegmentLength;
    private LogFolder.@Nullable LogFile mSegment;
    private HardState mHardState;
    private boolean mHasFailed;

    private LogStorage(LogFolder folder, FolderContent content) {
        mFolder = folder;
        mContent = content;
        mIdentity = content.identity();
        mSequence = content.sequence();
        mSegmentLength = content.validLength();
        mHardState = content.state().hardState();
    }

    /**
     * Opens a folder and reads its content. Counts the opening, removes an incomplete last record,
     * and deletes unused files.
     *
     * @param folder folder of the group's files; closed with the storage, or if this fails
     * @param vm VM to which the folder must belong
     * @param group group to which the folder must belong
     * @param newIncarnation incarnation of the storage if the folder is empty; above 0
     * @throws IOException if the folder can't be read, belongs to another VM or group, or is
     *     damaged
     */
    public static LogStorage open(LogFolder folder, String vm, String group, long newIncarnation)
            throws IOException {
        try {
            FolderContent content = FolderContent.read(folder, vm, group, newIncarnation);
            LogStorage storage = new LogStorage(folder, content);
            storage.prepare(content);
            return storage;
        } catch (IOException | RuntimeException e) {
            // The lock of a folder that stays open would prevent any later opening.
            closeAfter(e, folder);
            throw e;
        }
    }

    private void prepare(FolderContent content) throws IOException {
        mIdentity.setStarts(mIdentity.getStarts() + 1);
        writeIdentity();
        if (content.sequence() > 0) {
            // The sync of the last record may have failed; all earlier ones have succeeded.
            mSegment =
                    mFolder.openAt(
                            segmentName(content.sequence()),
                            content.lastRecordOffset(),
                            content.validLength());
        }
        try {
            deleteUnused(content.state().snapshot().index());
        } catch (IOException | RuntimeException e) {
            if (mSegment != null) {
                closeAfter(e, mSegment);
            }
            throw e;
        }
    }

    private static void closeAfter(Exception failure, Closeable resource) {
        try {
            resource.close();
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    /** Returns the state that was read when the storage was opened. */
    public StoredState state() {
        return mContent.state();
    }

    /** Returns the VM and incarnation of this storage. */
    public StoreId id() {
        return new StoreId(mIdentity.getVm(), mIdentity.getIncarnation());
    }

    /** Returns how often the folder has been opened, including this time. */
    public long openCount() {
        return mIdentity.getStarts();
    }

    /**
     * Stores and syncs the outputs of a step of the core.
     *
     * @throws IOException if that failed; the storage must not be used any more
     */
    public void store(Outputs outputs) throws IOException {
        runGuarded(
                () -> {
                    mHardState = outputs.hardState().orElse(mHardState);
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
     * Stores a snapshot and deletes the entries that it replaces.
     *
     * @param snapshot snapshot of applied entries
     * @param baseIndex index before the first retained entry
     * @param baseTerm term of the entry at {@code baseIndex}
     * @param entries retained entries
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
        try {
            if (mSegment != null) {
                mSegment.close();
            }
        } finally {
            mFolder.close();
        }
    }

    static String segmentName(long sequence) {
        return String.format("%s%016d", FolderContent.SEGMENT_PREFIX, sequence);
    }

    static String snapshotName(long index) {
        return String.format("%s%016d", FolderContent.SNAPSHOT_PREFIX, index);
    }

    /** An action that writes to files. */
    @FunctionalInterface
    private interface Write {
        void run() throws IOException;
    }

    /** Runs an action; refuses it if an earlier one has failed. */
    private void runGuarded(Write write) throws IOException {
        if (mHasFailed) {
            throw new IOException("the storage has failed before");
        }
        mHasFailed = true;
        write.run();
        mHasFailed = false;
    }

    /** Starts a new segment with the given entries, and deletes files no longer used. */
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
                        StorageCodec.encodeBatch(Optional.of(mHardState), entries));
        mSequence++;
        if (mSegment != null) {
            mSegment.close();
        }
        mSegmentLength = replace(segmentName(mSequence), records);
        mSegment = mFolder.openAt(segmentName(mSequence), mSegmentLength, mSegmentLength);
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

    /** Replaces a file atomically; returns its length. */
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
            throw new IOException("the store has not joined a group, so it has no log segment");
        }
        mSegmentLength += writeFully(mSegment, RecordFrame.of(mSegmentLength, record));
        mSegment.sync();
    }

    private static int writeFully(LogFolder.LogFile file, ByteBuffer bytes) throws IOException {
        int length = bytes.remaining();
        while (bytes.hasRemaining()) {
            if (file.write(bytes) <= 0) {
                throw new IOException("a write to the log folder made no progress");
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
