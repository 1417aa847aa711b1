package org.sequoiahill.bench.capacity;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.bench.Experiment;

/** Prints the rows of the capacity page from the fits that {@link CapacityExperiment} writes. */
@Parameters(commandDescription = "print the rows of the capacity page from measured fits")
public final class CapacityPageExperiment implements Experiment {
    @Parameter(
            names = "--json",
            description = "file of fits that the command capacity wrote",
            required = true)
    private String mJson = "";

    @Override
    public boolean run() throws Exception {
        Map<String, LinearFit> fits = new HashMap<>();
        JsonNode root = JsonMapper.builder().build().readTree(Path.of(mJson).toFile());
        root.properties().forEach(e -> fits.put(e.getKey(), read(e.getValue())));
        List<CapacityRow> rows = CapacityModel.of(fits, TargetSize.standard()).rows();
        System.out.println("| Role | What | Limit | At the target | Measured slope | Verdict |");
        System.out.println("|---|---|---|---|---|---|");
        rows.forEach(row -> System.out.println(row.toMarkdown()));
        return rows.stream().allMatch(CapacityRow::isMet);
    }

    private static LinearFit read(JsonNode node) {
        return new LinearFit(
                node.path("intercept").asDouble(),
                node.path("slope").asDouble(),
                node.path("slopeError").asDouble());
    }
}
