package org.sequoiahill.daemon.version.cache;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.daemon.version.cache.ChunkWriter.Outcome;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.WeightFile;

class ChunkStoreTest {
    private static final String FIRST = "aaaa";
    private static final String SECOND = "bb";
    private static final long CAPACITY = 1_000;

    @TempDir private Path mFolder;

    @ParameterizedTest
    @CsvSource({
        "aaaa, STORED",
        "aaab, CORRUPT",
        "aaa, CORRUPT",
        "aaaab, CORRUPT",
        "'', CORRUPT",
    })
    void finish_bytes_storedOnlyIfIntact(String bytes, Outcome expected) throws IOException {
        ChunkStore store = opened(manifest("v1", FIRST, SECOND));
        String version = manifest("v1", FIRST, SECOND).digest();
        assertThat(write(store, version, 0, bytes), is(expected));
        assertThat(store.holds(version, 0), is(expected == Outcome.STORED));
        assertThat(store.locate(Digests.of(FIRST)).isPresent(), is(expected == Outcome.STORED));
    }

    @Test
    void write_secondWriterStarts_firstCanNotWrite() throws IOException {
        Manifest manifest = manifest("v1", FIRST, SECOND);
        ChunkStore store = opened(manifest);
        ChunkWriter first = store.writer(manifest.digest(), 0);
        first.write(bytes("xx"));
        ChunkWriter second = store.writer(manifest.digest(), 0);
        second.write(bytes("aa"));
        assertThat(first.write(bytes("xx")), is(false));
        second.write(bytes("aa"));
        assertThat(first.finish(), is(Outcome.SUPERSEDED));
        assertThat(second.finish(), is(Outcome.STORED));
        write(store, manifest.digest(), 1, SECOND);
        assertThat(store.verify(manifest.digest()), is(true));
    }

    @Test
    void copyFromLocal_chunkSharedByVersions_isStoredInBoth() throws IOException {
        Manifest first = manifest("v1", FIRST, SECOND);
        Manifest second = manifest("v2", FIRST, "cc");
        ChunkStore store = opened(first);
        store.prepare(second, Set.of(), "");
        write(store, first.digest(), 0, FIRST);
        assertThat(store.copyFromLocal(second.digest(), 0), is(true));
        assertThat(store.copyFromLocal(second.digest(), 1), is(false));
        write(store, second.digest(), 1, "cc");
        assertThat(store.verify(second.digest()), is(true));
    }

    @Test
    void recover_chunkCorruptOnDisk_isNotHeld() throws IOException {
        Manifest manifest = manifest("v1", FIRST, SECOND);
        ChunkStore store = opened(manifest);
        write(store, manifest.digest(), 0, FIRST);
        write(store, manifest.digest(), 1, SECOND);
        Files.writeString(store.folderOf(manifest.digest()).resolve("model.bin"), "aaaaXb");
        ChunkStore restarted = ChunkStore.in(mFolder, CAPACITY);
        restarted.recover();
        assertThat(restarted.holds(manifest.digest(), 0), is(true));
        assertThat(restarted.holds(manifest.digest(), 1), is(false));
        assertThat(restarted.verify(manifest.digest()), is(false));
    }

    @Test
    void prepare_noRoomBesidePinned_returnsFalseAndKeepsThem() throws IOException {
        Manifest first = manifest("v1", FIRST, SECOND);
        ChunkStore store = ChunkStore.in(mFolder, 10);
        assertThat(store.prepare(first, Set.of(), ""), is(true));
        Manifest second = manifest("v2", "cccc", "dd");
        assertThat(store.prepare(second, Set.of(first.digest()), ""), is(false));
        assertThat(store.manifest(first.digest()).isPresent(), is(true));
        assertThat(store.prepare(second, Set.of(), ""), is(true));
        assertThat(store.manifest(first.digest()).isPresent(), is(false));
    }

    static Stream<Arguments> plans() {
        return Stream.of(
                Arguments.of("all fit", 40L, 10L, Set.of(), "", true, List.of()),
                Arguments.of(
                        "least recently used is evicted",
                        40L,
                        20L,
                        Set.of(),
                        "",
                        true,
                        List.of("old")),
                Arguments.of(
                        "pinned is not evicted",
                        40L,
                        20L,
                        Set.of("old"),
                        "",
                        true,
                        List.of("middle")),
                Arguments.of(
                        "former is evicted last",
                        40L,
                        30L,
                        Set.of(),
                        "old",
                        true,
                        List.of("middle", "new")),
                Arguments.of(
                        "former is evicted too",
                        40L,
                        40L,
                        Set.of(),
                        "old",
                        true,
                        List.of("middle", "new", "old")),
                Arguments.of("too large", 40L, 50L, Set.of(), "", false, List.of()),
                Arguments.of(
                        "pinned leave no room",
                        40L,
                        20L,
                        Set.of("old", "middle", "new"),
                        "",
                        false,
                        List.of()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("plans")
    void plan_entries_evictsExpectedVersions(
            String name,
            long capacity,
            long required,
            Set<String> pinned,
            String former,
            boolean fits,
            List<String> evicted) {
        List<EvictionPlanner.CachedVersion> entries =
                List.of(
                        new EvictionPlanner.CachedVersion("old", 10, 1),
                        new EvictionPlanner.CachedVersion("middle", 10, 2),
                        new EvictionPlanner.CachedVersion("new", 10, 3));
        EvictionPlanner.Plan plan =
                EvictionPlanner.plan(entries, capacity, required, pinned, former);
        assertThat(plan, is(new EvictionPlanner.Plan(fits, evicted)));
    }

    private ChunkStore opened(Manifest manifest) throws IOException {
        ChunkStore store = ChunkStore.in(mFolder, CAPACITY);
        store.prepare(manifest, Set.of(), "");
        return store;
    }

    private static Outcome write(ChunkStore store, String version, int chunk, String text)
            throws IOException {
        ChunkWriter writer = store.writer(version, chunk);
        writer.write(bytes(text));
        return writer.finish();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private static Manifest manifest(String version, String first, String second) {
        String content = first + second;
        WeightFile file =
                new WeightFile(
                        "model.bin",
                        content.length(),
                        Digests.of(content),
                        List.of(Digests.of(first), Digests.of(second)));
        return new Manifest(version, first.length(), List.of(file));
    }
}
