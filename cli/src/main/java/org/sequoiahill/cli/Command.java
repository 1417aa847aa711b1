package org.sequoiahill.cli;

/** One command of {@code sequoia}; its fields are its arguments. */
@FunctionalInterface
interface Command {
    /** Runs the command. */
    ExitCode run(CommandContext context) throws Exception;
}
