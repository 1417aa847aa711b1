package org.sequoiahill.cli;

/** A command of {@code sequoia}; JCommander sets its fields to the command's arguments. */
@FunctionalInterface
interface Command {
    /** Runs the command. */
    ExitCode run(CommandContext context) throws Exception;
}
