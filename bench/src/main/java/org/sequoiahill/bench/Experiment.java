package org.sequoiahill.bench;

/** One experiment of the bench, with its own arguments as JCommander parameters. */
@FunctionalInterface
public interface Experiment {
    /**
     * Runs the experiment and prints its figures.
     *
     * @return whether every bound that the experiment checks was met
     */
    boolean run() throws Exception;
}
