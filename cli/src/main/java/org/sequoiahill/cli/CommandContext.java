package org.sequoiahill.cli;

import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;

/**
 * Collaborators of a command.
 *
 * @param client client of the daemon's operators' API
 * @param isTable whether to print tables instead of JSON
 * @param out stream for output
 * @param errors stream for errors and progress
 * @param pollDelay waits between two polls of a status
 */
record CommandContext(
        OperatorClient client,
        boolean isTable,
        PrintStream out,
        PrintStream errors,
        PollDelay pollDelay) {
    /** Delay between two polls. */
    @FunctionalInterface
    interface PollDelay {
        /** Waits for about a second. */
        void await() throws InterruptedException;
    }

    /**
     * Prints a response as {@link #printBody} does; prints an error response as JSON to {@code
     * errors}. Returns the exit code for the response's status.
     */
    ExitCode print(OperatorClient.Response response, String... columns) {
        JsonNode body = response.body();
        if (!response.isOk()) {
            errors.println(body.toPrettyString());
            return ExitCode.ofHttp(response.status());
        }
        printBody(body, columns);
        return ExitCode.OK;
    }

    /**
     * Prints a body as JSON, or as a table of these columns if tables were requested and there are
     * columns.
     */
    void printBody(JsonNode body, String... columns) {
        if (isTable && columns.length > 0) {
            TableWriter.print(out, body.isArray() ? body : Set.of(body), List.of(columns));
        } else {
            out.println(body.toPrettyString());
        }
    }

    /** Returns a positional argument; throws if it is missing. */
    static String argument(List<String> arguments, int index, String description) {
        if (index >= arguments.size()) {
            throw new ParameterException(description + " is missing");
        }
        return arguments.get(index);
    }
}
