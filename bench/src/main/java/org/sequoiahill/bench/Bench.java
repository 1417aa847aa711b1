package org.sequoiahill.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.Map;
import java.util.TreeMap;
import org.sequoiahill.bench.admission.AdmissionExperiment;
import org.sequoiahill.bench.calls.OnceExperiment;
import org.sequoiahill.bench.calls.SlowReadersExperiment;
import org.sequoiahill.bench.capacity.CapacityExperiment;
import org.sequoiahill.bench.capacity.CapacityPageExperiment;
import org.sequoiahill.bench.claims.ClaimsExperiment;
import org.sequoiahill.bench.config.ConfigExperiment;
import org.sequoiahill.bench.faults.FaultExperiment;
import org.sequoiahill.bench.push.PushExperiment;
import org.sequoiahill.bench.report.ReportExperiment;
import org.sequoiahill.bench.request.ColdExperiment;
import org.sequoiahill.bench.request.DrainExperiment;
import org.sequoiahill.bench.request.RequestExperiment;
import org.sequoiahill.bench.stores.LogExperiment;
import org.sequoiahill.bench.stores.StoreFaultsExperiment;
import org.sequoiahill.bench.weights.FetchExperiment;

/** The command-line program {@code bench}; each of its commands runs one experiment. */
public final class Bench {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--help", help = true, description = "print this text and exit")
    private boolean mHelp;

    private Bench() {}

    /** Runs the experiment that the arguments name and exits. */
    public static void main(String[] args) throws Exception {
        System.exit(new Bench().run(args));
    }

    /** Returns all experiments by command name; new experiments are registered here. */
    private static Map<String, Experiment> experiments() {
        Map<String, Experiment> experiments = new TreeMap<>();
        experiments.put("admission", new AdmissionExperiment());
        experiments.put("capacity", new CapacityExperiment());
        experiments.put("capacity-page", new CapacityPageExperiment());
        experiments.put("faults", new FaultExperiment());
        experiments.put("fetch", FetchExperiment.create());
        experiments.put("claims", new ClaimsExperiment());
        experiments.put("config", new ConfigExperiment());
        experiments.put("once", new OnceExperiment());
        experiments.put("slow-readers", new SlowReadersExperiment());
        experiments.put("report", new ReportExperiment());
        experiments.put("push", new PushExperiment());
        experiments.put("request", new RequestExperiment());
        experiments.put("drain", new DrainExperiment());
        experiments.put("cold", new ColdExperiment());
        experiments.put("log", new LogExperiment());
        experiments.put("stores", new StoreFaultsExperiment());
        return experiments;
    }

    private int run(String[] args) throws Exception {
        Map<String, Experiment> experiments = experiments();
        JCommander commander = JCommander.newBuilder().programName("bench").addObject(this).build();
        experiments.forEach(commander::addCommand);
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("bench: " + e.getMessage() + "; see --help");
            return EXIT_USAGE;
        }
        Experiment experiment = experiments.get(String.valueOf(commander.getParsedCommand()));
        if (mHelp || experiment == null) {
            commander.usage();
            return mHelp ? EXIT_OK : EXIT_USAGE;
        }
        return experiment.run() ? EXIT_OK : EXIT_FAILED;
    }
}
