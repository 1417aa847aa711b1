package org.sequoiahill.bench;

/** An experiment that {@code bench} runs; its command-line options are JCommander parameters. */
@FunctionalInterface
public interface Experiment {
    /**
     * Runs the experiment and prints its results.
     *
     * @return whether the experiment ran and met every target that it checks
     */
    boolean run() throws Exception;
}
