package org.sequoiahill.examples;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;

/**
 * A stand-in origin of weights: serves a folder over HTTP, with byte ranges, a rate limit and
 * injected faults.
 */
public final class StandInOrigin {
    private StandInOrigin() {}

    private static final class Arguments {
        @Parameter(names = "--listen", required = true)
        private String mListen = "";

        @Parameter(names = "--folder", required = true)
        private String mFolder = "";

        @Parameter(
                names = "--bytes-per-second",
                description = "rate of the link in bytes per second; 0 for no limit")
        private long mBytesPerSecond;
    }

    /** Runs the stand-in until the process is terminated. */
    public static void main(String[] args) throws Exception {
        Arguments arguments = new Arguments();
        StandInServer.parse("stand-in-origin", arguments, args);
        OriginHandler handler =
                OriginHandler.of(Path.of(arguments.mFolder), arguments.mBytesPerSecond);
        StandInServer.start(arguments.mListen, handler).join();
    }
}
