package org.sequoiahill.daemon.process.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.DocumentKind;

class ConfigurationViewTest {
    private static final Identity IDENTITY = Identity.of("entry-1", "ne-a", 1);

    @TempDir Path mFolder;

    /** A delta is: its after and to revisions, then the revisions of its documents. */
    @ParameterizedTest
    @CsvSource({
        "5, 5-7 6 7, TAKEN",
        "5, 5-9 6 9, TAKEN",
        "5, 3-7 4 5 7, TAKEN",
        "5, 0-6 1 6, TAKEN",
        "5, 5-5, OLD",
        "5, 0-5 5, OLD",
        "5, 0-3 1 3, OLD",
        "5, 5-3, OLD",
        "5, 6-8 8, GAP",
        "5, 8-8, GAP",
        "5, 5-7, FAULTY",
        "5, 5-7 6, FAULTY",
        "5, 5-7 7 9, FAULTY",
        "5, 5-7 4 7, FAULTY",
        "5, -1-7 7, FAULTY",
    })
    void apply_delta_returnsExpectedVerdict(long currentRevision, String delta, String verdict) {
        ConfigurationView view = ConfigurationView.of(IDENTITY);
        view.offer(deltaOf("0-" + currentRevision + " " + currentRevision));

        DeltaRule.Verdict actual = view.apply(deltaOf(delta), true);

        assertThat(actual.name(), is(verdict));
        long expected = verdict.equals("TAKEN") ? deltaOf(delta).getToRevision() : currentRevision;
        assertThat(view.current().revision(), is(expected));
    }

    @Test
    void offer_olderDocumentInDelta_isIgnored() {
        ConfigurationView view = ConfigurationView.of(IDENTITY);
        view.offer(
                new ConfigurationDelta(IDENTITY.sender(), 5, List.of(named("ne-a", 5, "out")), 0));
        view.offer(
                new ConfigurationDelta(
                        IDENTITY.sender(),
                        6,
                        List.of(named("ne-a", 3, "in"), named("ma-a", 6, "in")),
                        0));

        assertThat(view.current().isOutOfService("ne-a"), is(true));
        assertThat(view.current().revision(), is(6L));
    }

    @Test
    void restored_afterRestart_startsWithTheLatestRevision() {
        ConfigurationView view = open();
        view.offer(deltaOf("0-5 2 5"));
        view.offer(deltaOf("5-9 9"));

        ConfigurationView restarted = open();

        assertThat(restarted.current().revision(), is(9L));
        assertThat(restarted.offer(deltaOf("0-7 7")), is(false));
        assertThat(restarted.deltaAfter(0).getDocuments().size(), is(3));
    }

    @Test
    void offer_newRevision_isSavedBeforeItIsInForce() {
        List<String> order = new ArrayList<>();
        ConfigurationStorage storage =
                new ConfigurationStorage() {
                    @Override
                    public Optional<ConfigurationDelta> load() {
                        return Optional.empty();
                    }

                    @Override
                    public void save(ConfigurationDelta configuration) {
                        order.add("saved " + configuration.getToRevision());
                    }
                };
        ConfigurationView view = ConfigurationView.restored(IDENTITY, storage);
        view.onChange(snapshot -> order.add("in force " + snapshot.revision()));
        view.offer(deltaOf("0-1 1"));

        assertThat(order, is(List.of("saved 1", "in force 1")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"short", "flip", "magic", "format", "empty", "longer"})
    void restored_damagedFile_isMovedAsideAndViewStartsEmpty(String damage) throws IOException {
        open().offer(deltaOf("0-5 5"));
        Path file = mFolder.resolve("configuration");
        byte[] bytes = Files.readAllBytes(file);
        switch (damage) {
            case "short" -> bytes = Arrays.copyOf(bytes, bytes.length - 1);
            case "flip" -> bytes[bytes.length - 3] ^= 1;
            case "magic" -> bytes[0] ^= 1;
            case "format" -> bytes[7] = 9;
            case "longer" -> bytes = Arrays.copyOf(bytes, bytes.length + 1);
            default -> bytes = new byte[0];
        }
        Files.write(file, bytes);

        assertThat(open().current().revision(), is(0L));
        assertThat(Files.exists(mFolder.resolve("configuration.damaged")), is(true));
    }

    @Test
    void restored_leftoverOfAnInterruptedSave_isIgnored() throws IOException {
        open().offer(deltaOf("0-5 5"));
        Files.write(mFolder.resolve("configuration.next"), new byte[] {1, 2, 3});

        ConfigurationView view = open();

        assertThat(view.current().revision(), is(5L));
        assertThat(view.offer(deltaOf("5-6 6")), is(true));
        assertThat(open().current().revision(), is(6L));
    }

    private ConfigurationView open() {
        return ConfigurationView.restored(IDENTITY, ConfigurationFile.in(mFolder));
    }

    private static ConfigurationDelta deltaOf(String text) {
        String[] words = text.split(" ", -1);
        int dash = words[0].lastIndexOf('-');
        List<Document> documents = new ArrayList<>();
        for (int i = 1; i < words.length; i++) {
            long revision = Long.parseLong(words[i]);
            documents.add(named("dc-" + revision, revision, "in"));
        }
        return new ConfigurationDelta(
                IDENTITY.sender(),
                Long.parseLong(words[0].substring(dash + 1)),
                documents,
                Long.parseLong(words[0].substring(0, dash)));
    }

    private static Document named(String name, long revision, String state) {
        String body = "{\"dataCentre\": \"" + name + "\", \"state\": \"" + state + "\"}";
        return new Document(DocumentKind.DATA_CENTRE, name, revision, body);
    }
}
