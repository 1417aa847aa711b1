package org.sequoiahill.bench.admission;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.sequoiahill.bench.Experiment;

/** Plays a day on model engines by the entries' rules and by a scheduler with full knowledge. */
@Parameters(commandDescription = "what callers get on a day at the engines' limit, and the bound")
public final class AdmissionExperiment implements Experiment {
    @Parameter(names = "--rate", description = "requests a second at the full rate")
    private double mRate = 98;

    @Parameter(names = "--added", description = "engines that are added to the first six")
    private int mAdded = 4;

    @Parameter(names = "--many", description = "a fleet of 49 entries before 63 narrow engines")
    private boolean mIsMany;

    @Parameter(names = "--seeds", description = "days played")
    private int mSeeds = 5;

    @Parameter(names = "--by-second", description = "print each two seconds by themselves")
    private boolean mIsBySecond;

    @Override
    public boolean run() {
        SimulatedDay day =
                mIsMany
                        ? SimulatedDay.ofManyEntries(mRate, mAdded)
                        : SimulatedDay.withSwap(mRate, mAdded);
        int entries = day.load().entries();
        print("entries", day, (time, fleet) -> EntryScheduler.start(time, fleet, entries, 1));
        print(
                "full knowledge",
                day,
                (time, fleet) -> FullKnowledgeScheduler.start(time, fleet, day.engineParameters().slots()));
        return true;
    }

    private void print(String name, SimulatedDay day, SimulatedDay.SchedulerFactory schedulers) {
        Tally all = new Tally();
        List<Tally> windows = Tally.windows(day.length());
        for (int seed = 1; seed <= mSeeds; seed++) {
            for (RequestOutcome outcome : day.run(seed, schedulers)) {
                all.add(outcome);
                windows.get(Tally.windowOf(outcome)).add(outcome);
            }
        }
        System.out.printf("%-16s %s%n", name, all.describe());
        for (int i = 0; mIsBySecond && i < windows.size(); i++) {
            System.out.printf(
                    "  from second %3d %s%n", i * Tally.WINDOW_SECONDS, windows.get(i).describe());
        }
    }
}
