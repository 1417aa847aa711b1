package org.sequoiahill.daemon.process.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class LogStorageTest {
    private static final String VM = "store-0";
    private static final String GROUP = "config";
    private static final Membership MEMBERS =
            new Membership(List.of(new Member(new StoreId(VM, 1), "127.20.0.1:1", true)));

    private MemoryFolder mFolder = new MemoryFolder(new Random(1));

    @Test
    void open_emptyFolder_isEmptyWithTheNewIncarnation() throws IOException {
        LogStorage storage = LogStorage.open(mFolder, VM, GROUP, 7);

        assertThat(storage.id(), is(new StoreId(VM, 7)));
        assertThat(storage.state(), is(StoredState.EMPTY));
    }

    @Test
    void open_again_keepsTheIncarnationAndCountsTheOpening() throws IOException {
        LogStorage.open(mFolder, VM, GROUP, 7);

        LogStorage storage = LogStorage.open(mFolder, VM, GROUP, 8);

        assertThat(storage.id(), is(new StoreId(VM, 7)));
        assertThat(storage.openCount(), is(2L));
    }

    @Test
    void store_steps_areReadBack() throws IOException {
        mFolder.useShortWrites(true);
        LogStorage storage = joined();
        HardState hard = new HardState(1, 4, Optional.of(new StoreId("store-1", 9)));
        storage.store(step(Optional.of(hard), entry(2, 4), entry(3, 4)));
        storage.store(step(Optional.empty(), entry(3, 5)));
        mFolder.crash();

        StoredState read = LogStorage.open(mFolder, VM, GROUP, 8).state();

        assertThat(read.hardState(), is(hard));
        assertThat(read.snapshot(), is(Snapshot.bootstrap(MEMBERS)));
        assertThat(read.entries(), is(List.of(entry(2, 4), entry(3, 5))));
    }

    @Test
    void compact_snapshot_replacesTheEntriesItIncludes() throws IOException {
        LogStorage storage = joined();
        storage.store(step(Optional.empty(), entry(2, 1), entry(3, 1), entry(4, 1)));
        Snapshot snapshot = new Snapshot(3, 1, MEMBERS, ByteBuffer.wrap(new byte[] {1, 2, 3}));
        storage.compact(snapshot, 2, 1, List.of(entry(3, 1), entry(4, 1)));
        storage.store(step(Optional.empty(), entry(5, 1)));
        mFolder.crash();

        StoredState read = LogStorage.open(mFolder, VM, GROUP, 8).state();

        assertThat(read.snapshot(), is(snapshot));
        assertThat(read.baseIndex(), is(2L));
        assertThat(read.entries(), is(List.of(entry(3, 1), entry(4, 1), entry(5, 1))));
        assertThat(mFolder.names().size(), is(3));
    }

    /** Truncates the last record at every length, as an interrupted write may. */
    @Test
    void open_incompleteLastRecord_removesIt() throws IOException {
        LogStorage storage = joined();
        storage.store(step(Optional.empty(), entry(2, 1)));
        int validLength = mFolder.read(LogStorage.segmentName(1)).length;
        storage.store(step(Optional.empty(), entry(3, 1)));
        byte[] content = mFolder.read(LogStorage.segmentName(1));
        for (int length = validLength; length < content.length; length++) {
            MemoryFolder truncated = mFolder.copy();
            truncated.openAt(LogStorage.segmentName(1), length, length).close();

            StoredState read = LogStorage.open(truncated, VM, GROUP, 8).state();

            assertThat(read.entries(), is(List.of(entry(2, 1))));
            assertThat(truncated.read(LogStorage.segmentName(1)).length, is(validLength));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "segment-, 20, is damaged at byte 0",
        "segment-, -60, before records that were synced",
        "snapshot-, 20, is damaged at byte 0",
        "identity, 20, is damaged at byte 0"
    })
    void open_damagedFile_isRefused(String file, int offset, String message) throws IOException {
        LogStorage storage = joined();
        storage.store(step(Optional.empty(), entry(2, 1)));
        storage.store(step(Optional.empty(), entry(3, 1)));
        mFolder.corrupt(file, offset);

        assertRefused(VM, GROUP, message);
    }

    @ParameterizedTest
    @CsvSource({"store-1, config", "store-0, claims"})
    void open_folderOfAnother_isRefused(String vm, String group) throws IOException {
        joined();

        assertRefused(vm, group, "belongs to group config on store-0");
    }

    @ParameterizedTest
    @CsvSource({"identity, no identity", "segment-, is gone"})
    void open_fileIsGone_isRefused(String prefix, String message) throws IOException {
        joined();
        mFolder.names().stream()
                .filter(name -> name.startsWith(prefix))
                .toList()
                .forEach(mFolder::delete);

        assertRefused(VM, GROUP, message);
    }

    @Test
    void store_afterAFailedSync_isRefused() throws IOException {
        LogStorage storage = joined();
        mFolder.failAfterSyncs(0);
        Outputs step = step(Optional.empty(), entry(2, 1));
        assertThrows(IOException.class, () -> storage.store(step));

        IOException second = assertThrows(IOException.class, () -> storage.store(step));

        assertThat(second.getMessage(), containsString("has failed before"));
    }

    /** Guards against losing acknowledged entries after a failed sync was followed by others. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void store_afterAFailedSyncAndAReopening_survivesALossOfPower(int seed) throws IOException {
        mFolder = new MemoryFolder(new Random(seed));
        LogStorage storage = joined();
        storage.store(step(Optional.empty(), entry(2, 1)));
        mFolder.failAfterSyncs(0);
        assertThrows(IOException.class, () -> storage.store(step(Optional.empty(), entry(3, 1))));
        LogStorage reopened = LogStorage.open(mFolder, VM, GROUP, 8);
        List<Entry> acknowledged = new ArrayList<>(reopened.state().entries());
        reopened.store(step(Optional.empty(), entry(4, 1)));
        acknowledged.add(entry(4, 1));
        mFolder.crash();

        StoredState read = LogStorage.open(mFolder, VM, GROUP, 9).state();

        assertThat(read.entries(), is(acknowledged));
    }

    private void assertRefused(String vm, String group, String message) {
        IOException failure =
                assertThrows(IOException.class, () -> LogStorage.open(mFolder, vm, group, 8));
        assertThat(failure.getMessage(), containsString(message));
    }

    private LogStorage joined() throws IOException {
        LogStorage storage = LogStorage.open(mFolder, VM, GROUP, 1);
        HardState hard = new HardState(1, 1, Optional.empty());
        storage.store(outputs(Optional.of(hard), Optional.of(Snapshot.bootstrap(MEMBERS))));
        return storage;
    }

    private static Entry entry(long index, long term) {
        ByteBuffer payload = ByteBuffer.allocate(Long.BYTES).putLong(index * 31 + term).flip();
        return new Entry(index, term, EntryKind.PAYLOAD, payload);
    }

    private static Outputs step(Optional<HardState> hard, Entry... entries) {
        return outputs(hard, Optional.empty(), entries);
    }

    private static Outputs outputs(
            Optional<HardState> hard, Optional<Snapshot> installed, Entry... entries) {
        return new Outputs(
                hard,
                installed,
                new ArrayList<>(List.of(entries)),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Optional.empty());
    }
}
