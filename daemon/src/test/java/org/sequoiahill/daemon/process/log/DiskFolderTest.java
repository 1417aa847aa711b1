package org.sequoiahill.daemon.process.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests on real files that everything is synced before a store relies on it. */
final class DiskFolderTest {
    private static final String VM = "store-0";
    private static final String GROUP = "config";
    private static final Membership MEMBERS =
            new Membership(List.of(new Member(new StoreId(VM, 1), "127.20.0.1:1", true)));

    @TempDir private Path mTemporary;

    private final List<Entry> mAcknowledged = new ArrayList<>();

    @Test
    void store_everyKindOfStep_syncsContentsAndNamesBeforeItReturns() throws IOException {
        RecordingFileSystem files = RecordingFileSystem.over(mTemporary);

        runProcess(files, mTemporary);

        assertThat(mAcknowledged.size(), is(3));
    }

    /**
     * Guards against losing the log's folder with the power after an earlier process was killed.
     */
    @Test
    void open_afterAKillBeforeAnyOperation_syncsWhatTheKilledProcessLeft() throws IOException {
        int kills = 0;
        while (isKilledBefore(kills)) {
            kills++;
        }
        assertThat(kills, greaterThan(40));
    }

    /** Runs a process that is killed before an operation, and another one on what it has left. */
    private boolean isKilledBefore(int operation) throws IOException {
        Path dataFolder = mTemporary.resolve("data-" + operation);
        Files.createDirectory(dataFolder);
        RecordingFileSystem files = RecordingFileSystem.over(mTemporary);
        mAcknowledged.clear();
        files.killBefore(operation);
        boolean isKilled = false;
        try {
            runProcess(files, dataFolder);
        } catch (RecordingFileSystem.Killed e) {
            isKilled = true;
        }
        files.neverKill();
        try (LogStorage storage = open(files, dataFolder)) {
            assertSynced("killed before operation " + operation, files);
            assertThat(storage.state().entries(), hasItems(mAcknowledged.toArray(Entry[]::new)));
        }
        return isKilled;
    }

    private void runProcess(RecordingFileSystem files, Path dataFolder) throws IOException {
        try (LogStorage storage = open(files, dataFolder)) {
            assertSynced("opened", files);
            HardState joined = new HardState(1, 1, Optional.empty());
            Outputs join =
                    outputs(joined, Optional.of(Snapshot.bootstrap(MEMBERS)), Optional.of(9L));
            store(storage, files, join);
            HardState voted = new HardState(1, 2, Optional.of(new StoreId("store-1", 1)));
            store(storage, files, outputs(voted, Optional.empty(), Optional.empty(), entry(2)));
            store(storage, files, outputs(voted, Optional.empty(), Optional.empty(), entry(3)));
            Snapshot applied = new Snapshot(2, 2, MEMBERS, ByteBuffer.wrap(new byte[] {1}));
            storage.compact(applied, 1, 1, List.of(entry(2), entry(3)));
            assertSynced("compacted", files);
            Snapshot received = new Snapshot(9, 2, MEMBERS, ByteBuffer.wrap(new byte[] {2}));
            mAcknowledged.clear();
            store(storage, files, outputs(voted, Optional.of(received), Optional.empty()));
            store(storage, files, outputs(voted, Optional.empty(), Optional.empty(), entry(10)));
            store(storage, files, outputs(voted, Optional.empty(), Optional.empty(), entry(11)));
            store(storage, files, outputs(voted, Optional.empty(), Optional.empty(), entry(12)));
        }
    }

    private static LogStorage open(RecordingFileSystem files, Path dataFolder) throws IOException {
        DiskFolder folder = DiskFolder.open(files.view(dataFolder), "log", GROUP);
        return LogStorage.open(folder, VM, GROUP, 1);
    }

    private void store(LogStorage storage, RecordingFileSystem files, Outputs outputs)
            throws IOException {
        storage.store(outputs);
        assertSynced("stored " + outputs, files);
        mAcknowledged.addAll(outputs.appended());
    }

    private static void assertSynced(String reason, RecordingFileSystem files) {
        assertThat(reason, files.unsyncedContents(), empty());
        List<Path> names =
                files.unsyncedNames().stream().filter(name -> !name.endsWith("lock")).toList();
        assertThat(reason, names, empty());
    }

    private static Entry entry(long index) {
        return new Entry(index, 2, EntryKind.PAYLOAD, ByteBuffer.wrap(new byte[] {(byte) index}));
    }

    private static Outputs outputs(
            HardState hard,
            Optional<Snapshot> installed,
            Optional<Long> adopted,
            Entry... entries) {
        return new Outputs(
                Optional.of(hard),
                installed,
                List.of(entries),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                adopted);
    }
}
