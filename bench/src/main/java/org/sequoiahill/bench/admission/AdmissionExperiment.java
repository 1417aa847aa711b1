package org.sequoiahill.bench.admission;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.sequoiahill.bench.Experiment;

/**
 * Simulates a day with the entries' own dispatchers and with a scheduler that has full knowledge.
 */
@Parameters(
        commandDescription =
                "outcomes of a day at the engines' limit, compared with full knowledge")
public final class AdmissionExperiment implements Experiment {
    @Parameter(names = "--rate", description = "requests per second at the full rate")
    private double mRate = 98;

    @Parameter(names = "--added", description = "number of engines added at second 9.5")
    private int mAdded = 4;

    @Parameter(names = "--many", description = "simulate 49 entries and 63 narrow engines")
    private boolean mIsMany;

    @Parameter(names = "--seeds", description = "number of days simulated, each with its own seed")
    private int mSeeds = 5;

    @Parameter(
            names = "--by-second",
            description = "also print the outcomes of each window of two seconds")
    private boolean mIsBySecond;

    @Override
    public boolean run() {
        SimulatedDay day =
                mIsMany
                        ? SimulatedDay.ofManyEntries(mRate, mAdded)
                        : SimulatedDay.ofFewEntries(mRate, mAdded);
        int entries = day.load().entries();
        print("entries", day, (time, fleet) -> EntryScheduler.start(time, fleet, entries, 1));
        print(
                "full knowledge",
                day,
                (time, fleet) ->
                        FullKnowledgeScheduler.start(time, fleet, day.engineParameters().slots()));
        return true;
    }

    private void print(String name, SimulatedDay day, SimulatedDay.SchedulerFactory factory) {
        Tally total = new Tally();
        List<Tally> windows = Tally.windows(day.length());
        for (int seed = 1; seed <= mSeeds; seed++) {
            for (RequestOutcome outcome : day.run(seed, factory)) {
                total.add(outcome);
                windows.get(Tally.windowOf(outcome)).add(outcome);
            }
        }
        System.out.printf("%-16s %s%n", name, total.describe());
        for (int i = 0; mIsBySecond && i < windows.size(); i++) {
            System.out.printf(
                    "  from second %3d %s%n", i * Tally.WINDOW_SECONDS, windows.get(i).describe());
        }
    }
}
