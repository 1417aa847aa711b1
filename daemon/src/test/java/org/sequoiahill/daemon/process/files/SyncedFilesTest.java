package org.sequoiahill.daemon.process.files;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SyncedFilesTest {
    @TempDir private Path mFolder;

    @Test
    void replace_missingFolder_isCreated() throws IOException {
        Path file = mFolder.resolve("a").resolve("b");

        SyncedFiles.replace(file, StandardCharsets.UTF_8.encode("one"));

        assertThat(Files.readString(file), is("one"));
    }

    @Test
    void replace_longerContent_isReplacedCompletely() throws IOException {
        Path file = mFolder.resolve("a");

        SyncedFiles.replace(file, StandardCharsets.UTF_8.encode("a longer one"));
        SyncedFiles.replace(file, StandardCharsets.UTF_8.encode("two"));

        assertThat(Files.readString(file), is("two"));
    }

    @Test
    void replace_temporaryFileCantBeWritten_keepsTheOldContent() throws IOException {
        Path file = mFolder.resolve("a");
        SyncedFiles.replace(file, StandardCharsets.UTF_8.encode("one"));
        Files.createDirectory(mFolder.resolve("a.next"));

        assertThrows(
                IOException.class,
                () -> SyncedFiles.replace(file, StandardCharsets.UTF_8.encode("two")));

        assertThat(Files.readString(file), is("one"));
    }
}
