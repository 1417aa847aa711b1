package org.sequoiahill.bench.report;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link JournalReader}, and {@link ReportPage} with the entries that it reads. */
final class JournalReaderTest {
    private static final String ENTRY =
            """
            {"at":["%s","2026-12-04T07:12:19Z"],"cmd":"score","site":"s","why":"a < b",
             "days":[{"name":"quiet-1","G":%s,"rules":{"MIXED":3},
              "parts":[["whole day",0.3,0.9]],"prices":[["memory",2.0,0.01]]}]}
            """;

    @TempDir private Path mFolder;

    @Test
    void read_entries_comeInTheOrderOfTheirStart() throws IOException {
        write("b.json", String.format(ENTRY, "2026-12-04T07:07:49Z", "0.8"));
        write("a.json", String.format(ENTRY, "2026-12-04T08:07:49Z", "0.9"));
        List<JournalEntry> entries = JournalReader.read(mFolder);
        assertThat(entries.size(), is(2));
        PlayedDayResult day = entries.get(0).days().get(0);
        assertThat(day.worth(), is(0.8));
        assertThat(day.parts(), is(Map.of("whole day", 0.9)));
        assertThat(day.prices(), is(Map.of("memory", 0.01)));
        assertThat(day.brokenRules(), is(Map.of("MIXED", 3)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"at\":\"yesterday\"}"})
    void read_fileThatIsNoEntry_leavesItOut(String text) throws IOException {
        write("a.json", text);
        write("b.json", String.format(ENTRY, "2026-12-04T07:07:49Z", "0.8"));
        assertThat(JournalReader.read(mFolder).size(), is(1));
    }

    @Test
    void page_dayInTwoEntries_hasEscapedTextWorthAndThreeCharts() throws IOException {
        write("a.json", String.format(ENTRY, "2026-12-04T07:07:49Z", "0.8"));
        write("b.json", String.format(ENTRY, "2026-12-04T08:07:49Z", "0.9"));
        String page = ReportPage.of("s", JournalReader.read(mFolder));
        assertThat(page, containsString("a &lt; b"));
        assertThat(page, not(containsString("a < b")));
        assertThat(page, containsString("quiet-1 0.900"));
        assertThat(page.split("data:image/png", -1).length - 1, is(3));
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(mFolder.resolve(name), text);
    }
}
