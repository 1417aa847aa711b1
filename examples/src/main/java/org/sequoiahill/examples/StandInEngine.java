package org.sequoiahill.examples;

import com.beust.jcommander.Parameter;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * A stand-in model engine: serves OpenAI-compatible completions, loads weights and reports its
 * state.
 */
public final class StandInEngine {
    private StandInEngine() {}

    static final class Arguments {
        @Parameter(names = "--listen", required = true)
        private String mListen = "";

        @Parameter(
                names = "--token-millis",
                description = "time between two tokens in milliseconds")
        private int mTokenMillis = 20;

        @Parameter(
                names = "--load-millis",
                description = "time in milliseconds that loading weights takes")
        private int mLoadMillis = 300;

        @Parameter(
                names = "--checks-fencing",
                description = "refuse loads with an outdated fencing number")
        private boolean mChecksFencing;

        int tokenMillis() {
            return mTokenMillis;
        }

        int loadMillis() {
            return mLoadMillis;
        }

        boolean checksFencing() {
            return mChecksFencing;
        }
    }

    /** Runs the stand-in until the process is terminated. */
    public static void main(String[] args) throws Exception {
        Arguments arguments = new Arguments();
        StandInServer.parse("stand-in-engine", arguments, args);
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        StandInServer.start(arguments.mListen, new EngineHandler(arguments, scheduler)).join();
    }
}
