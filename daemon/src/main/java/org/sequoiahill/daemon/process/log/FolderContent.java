package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiahill.protocol.gen.LogBatch;
import org.sequoiahill.protocol.gen.LogEntry;
import org.sequoiahill.protocol.gen.LogFolderIdentity;
import org.sequoiahill.protocol.gen.LogSegmentHeader;
import org.sequoiahill.protocol.gen.LogSnapshotHeader;

/**
 * Content of a group's folder.
 *
 * @param identity VM, group and incarnation that the folder belongs to, how often it was opened,
 *     and whether its store has joined the group
 * @param state term, vote, snapshot and entries
 * @param sequence number of the current segment; 0 if there is none
 * @param lastRecordOffset offset of the segment's last complete record
 * @param validLength bytes of the segment up to the end of its last complete record
 */
record FolderContent(
        LogFolderIdentity identity,
        StoredState state,
        long sequence,
        long lastRecordOffset,
        long validLength) {
    static final String IDENTITY_NAME = "identity";
    static final String SEGMENT_PREFIX = "segment-";
    static final String SNAPSHOT_PREFIX = "snapshot-";
    static final String TEMPORARY_PREFIX = "new-";

    /** Reads a folder without changing it. */
    static FolderContent read(LogFolder folder, String vm, String group, long newIncarnation)
            throws IOException {
        List<String> names = folder.names();
        Optional<String> segment =
                names.stream()
                        .filter(name -> name.startsWith(SEGMENT_PREFIX))
                        .max(String::compareTo);
        if (!names.contains(IDENTITY_NAME)) {
            if (segment.isPresent()) {
                throw new IOException(
                        "the folder is damaged: it has a log segment but no identity");
            }
            LogFolderIdentity identity =
                    new LogFolderIdentity(
                            LogStorage.FORMAT_VERSION, vm, group, newIncarnation, 0, false);
            return new FolderContent(identity, StoredState.EMPTY, 0, 0, 0);
        }
        LogFolderIdentity identity = readIdentity(folder, vm, group);
        if (segment.isPresent()) {
            return readSegment(folder, identity, segment.get());
        }
        if (identity.isJoined()) {
            throw new IOException("the folder is damaged: its log segment is gone");
        }
        return new FolderContent(identity, StoredState.EMPTY, 0, 0, 0);
    }

    private static LogFolderIdentity readIdentity(LogFolder folder, String vm, String group)
            throws IOException {
        byte[] record = recordAt(folder.read(IDENTITY_NAME), 0, IDENTITY_NAME);
        LogFolderIdentity identity = StorageCodec.decode(new LogFolderIdentity(), record);
        checkVersion(identity.getFormatVersion(), IDENTITY_NAME);
        if (!identity.getVm().equals(vm) || !identity.getGroup().equals(group)) {
            throw new IOException(
                    "the folder belongs to group "
                            + identity.getGroup()
                            + " on "
                            + identity.getVm()
                            + ", not to group "
                            + group
                            + " on "
                            + vm);
        }
        return identity;
    }

    private static FolderContent readSegment(
            LogFolder folder, LogFolderIdentity identity, String name) throws IOException {
        byte[] content = folder.read(name);
        byte[] headerRecord = recordAt(content, 0, name);
        LogSegmentHeader header = StorageCodec.decode(new LogSegmentHeader(), headerRecord);
        checkVersion(header.getFormatVersion(), name);
        if (header.getIncarnation() != identity.getIncarnation()
                || !header.getVm().equals(identity.getVm())
                || !header.getGroup().equals(identity.getGroup())) {
            throw new IOException(name + " belongs to another folder");
        }
        Snapshot snapshot = readSnapshot(folder, identity, header.getSnapshotIndex());
        List<Entry> entries = new ArrayList<>();
        HardState hardState = HardState.NONE;
        int lastRecordOffset = 0;
        int offset = RecordFrame.HEADER_BYTES + headerRecord.length;
        Optional<byte[]> record = RecordFrame.read(content, offset);
        while (record.isPresent()) {
            LogBatch batch = StorageCodec.decode(new LogBatch(), record.get());
            hardState = batch.isSetHard() ? StorageCodec.fromThrift(batch.getHard()) : hardState;
            appendEntries(entries, header.getBaseIndex(), batch.getEntries(), name);
            lastRecordOffset = offset;
            offset += RecordFrame.HEADER_BYTES + record.get().length;
            record = RecordFrame.read(content, offset);
        }
        if (RecordFrame.hasRecordAfter(content, offset)) {
            throw new IOException(
                    name
                            + " is damaged at byte "
                            + offset
                            + ", before records that were synced; move the folder away to let this"
                            + " store rejoin as a learner");
        }
        StoredState state =
                new StoredState(
                        hardState, snapshot, header.getBaseIndex(), header.getBaseTerm(), entries);
        long sequence = Long.parseLong(name.substring(SEGMENT_PREFIX.length()));
        return new FolderContent(identity, state, sequence, lastRecordOffset, offset);
    }

    /** Appends entries; one at an index already present replaces that entry and all after it. */
    private static void appendEntries(
            List<Entry> entries, long baseIndex, List<LogEntry> added, String name)
            throws IOException {
        for (LogEntry thrift : added) {
            Entry entry = StorageCodec.fromThrift(thrift);
            long position = entry.index() - baseIndex - 1;
            if (position < 0 || position > entries.size()) {
                throw new IOException(
                        name
                                + " is damaged: entry "
                                + entry.index()
                                + " does not follow the entries before it");
            }
            entries.subList((int) position, entries.size()).clear();
            entries.add(entry);
        }
    }

    private static Snapshot readSnapshot(LogFolder folder, LogFolderIdentity identity, long index)
            throws IOException {
        String name = LogStorage.snapshotName(index);
        byte[] content = folder.read(name);
        byte[] headerRecord = recordAt(content, 0, name);
        LogSnapshotHeader header = StorageCodec.decode(new LogSnapshotHeader(), headerRecord);
        checkVersion(header.getFormatVersion(), name);
        if (header.getIndex() != index || !header.getGroup().equals(identity.getGroup())) {
            throw new IOException(name + " belongs to another folder");
        }
        byte[] data = recordAt(content, RecordFrame.HEADER_BYTES + headerRecord.length, name);
        return new Snapshot(
                index,
                header.getTerm(),
                Membership.fromThrift(header.getMembers()),
                ByteBuffer.wrap(data));
    }

    private static byte[] recordAt(byte[] content, int offset, String name) throws IOException {
        return RecordFrame.read(content, offset)
                .orElseThrow(() -> new IOException(name + " is damaged at byte " + offset));
    }

    private static void checkVersion(int version, String name) throws IOException {
        if (version != LogStorage.FORMAT_VERSION) {
            throw new IOException(
                    name + " has format version " + version + ", which this program can't read");
        }
    }
}
