package org.sequoiahill.bench.report;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.sequoiahill.bench.Experiment;

/** Writes an HTML page for each site of a journal, with plots of worth, credit and prices. */
@Parameters(commandDescription = "write HTML pages with plots of the results in a journal")
public final class ReportExperiment implements Experiment {
    @Parameter(names = "--journal", description = "folder of the journal")
    private String mJournal = "journal";

    @Parameter(names = "--out", description = "folder to which the pages are written")
    private String mOut = "target/report";

    @Override
    public boolean run() throws IOException {
        Path journal = Path.of(mJournal);
        if (!Files.isDirectory(journal)) {
            System.err.println("bench: " + journal + " is not a folder");
            return false;
        }
        Map<String, List<JournalEntry>> bySite =
                JournalReader.read(journal).stream()
                        .filter(entry -> !entry.days().isEmpty())
                        .collect(
                                Collectors.groupingBy(
                                        JournalEntry::site, TreeMap::new, Collectors.toList()));
        Path out = Path.of(mOut);
        Files.createDirectories(out);
        for (Map.Entry<String, List<JournalEntry>> site : bySite.entrySet()) {
            Path page = out.resolve(site.getKey() + ".html");
            Files.writeString(page, ReportPage.of(site.getKey(), site.getValue()));
            System.out.printf("%s: %d journal entries%n", page, site.getValue().size());
        }
        return true;
    }
}
