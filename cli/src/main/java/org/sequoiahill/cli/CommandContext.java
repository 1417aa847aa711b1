package org.sequoiahill.cli;

import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;

/**
 * What a command works with.
 *
 * @param client calls the daemon
 * @param isTable whether output is a table instead of JSON
 * @param out takes the output
 * @param errors takes errors and progress
 * @param pollDelay waits between two looks at what changes
 */
record CommandContext(
        OperatorClient client,
        boolean isTable,
        PrintStream out,
        PrintStream errors,
        PollDelay pollDelay) {
    /** Waits for a moment. */
    @FunctionalInterface
    interface PollDelay {
        /** Waits for about a second. */
        void await() throws InterruptedException;
    }

    /** Prints an answer, in a table of these columns where one is asked for. */
    ExitCode print(OperatorClient.Response answer, String... columns) {
        JsonNode body = answer.body();
        if (!answer.isOk()) {
            errors.println(body.toPrettyString());
            return ExitCode.ofHttp(answer.status());
        }
        printBody(body, columns);
        return ExitCode.OK;
    }

    /** Prints JSON, in a table of these columns where one is asked for. */
    void printBody(JsonNode body, String... columns) {
        if (isTable && columns.length > 0) {
            TableWriter.print(out, body.isArray() ? body : Set.of(body), List.of(columns));
        } else {
            out.println(body.toPrettyString());
        }
    }

    /** Returns a word of the command line. */
    static String argument(List<String> words, int index, String what) {
        if (index >= words.size()) {
            throw new ParameterException(what + " is missing");
        }
        return words.get(index);
    }
}
