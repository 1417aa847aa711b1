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

/** Writes a page for each site of a journal, with plots of worth by day, part and price. */
@Parameters(commandDescription = "pages with plots of what the journal's plays were worth")
public final class ReportExperiment implements Experiment {
    @Parameter(names = "--journal", description = "folder of the journal")
    private String mJournal = "journal";

    @Parameter(names = "--out", description = "folder that the pages are written to")
    private String mOut = "target/report";

    @Override
    public boolean run() throws IOException {
        Path journal = Path.of(mJournal);
        if (!Files.isDirectory(journal)) {
            System.err.println("bench: " + journal + " is no folder");
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
            System.out.printf("%s: %d plays%n", page, site.getValue().size());
        }
        return true;
    }
}
