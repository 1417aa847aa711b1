package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/** Options of all commands, accepted before and after the name of the command. */
final class CommonOptions {
    @Parameter(
            names = "--server",
            description =
                    "operators' addresses of entries or stores, separated by commas, tried in turn")
    private String mServer = System.getenv().getOrDefault("SEQUOIA_SERVER", "");

    @Parameter(names = "--token-file", description = "file with the operator's bearer token")
    private @Nullable String mTokenFile;

    @Parameter(names = "--output", description = "json or table")
    private String mOutput = "json";

    /** Returns the servers' addresses; empty if none is set. */
    String server() {
        return mServer;
    }

    /** Returns whether to print tables; throws if the format is unknown. */
    boolean isTable() {
        if (!mOutput.equals("json") && !mOutput.equals("table")) {
            throw new ParameterException("--output is " + mOutput + "; it must be json or table");
        }
        return mOutput.equals("table");
    }

    /**
     * Returns the operator's bearer token: from the file if one is given, otherwise from the
     * environment; empty if neither has one.
     */
    String token() throws IOException {
        return mTokenFile == null
                ? System.getenv().getOrDefault("SEQUOIA_TOKEN", "")
                : Files.readString(Path.of(mTokenFile)).strip();
    }
}
