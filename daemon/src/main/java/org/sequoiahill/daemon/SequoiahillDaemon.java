package org.sequoiahill.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.Daemon;
import org.sequoiahill.daemon.process.DaggerProcessComponent;
import org.sequoiahill.daemon.process.Signals;
import org.sequoiahill.daemon.process.logging.Logging;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.SettingsReader;
import org.sequoiahill.protocol.json.ParseResult;
import org.tinylog.Logger;

/** The program {@code sequoiahilld}. */
public final class SequoiahillDaemon {
    private static final String VERSION = "0.1.0";
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;

    private SequoiahillDaemon() {}

    /** Command-line arguments. */
    private static final class Arguments {
        @Parameter(names = "--config", description = "settings file, JSON with comments")
        private @Nullable String mConfig;

        @Parameter(names = "--check-config", description = "check the settings and exit")
        private boolean mCheckConfig;

        @Parameter(names = "--version", description = "print the version and exit")
        private boolean mVersion;

        @Parameter(names = "--help", help = true, description = "print this text and exit")
        private boolean mHelp;
    }

    /** Runs the daemon until it is stopped. */
    public static void main(String[] args) {
        Signals signals = Signals.install();
        System.exit(run(args, signals));
    }

    private static int run(String[] args, Signals signals) {
        Arguments arguments = new Arguments();
        JCommander commander =
                JCommander.newBuilder().programName("sequoiahilld").addObject(arguments).build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("sequoiahilld: " + e.getMessage() + "; see --help");
            return EXIT_USAGE;
        }
        if (arguments.mHelp) {
            commander.usage();
            return EXIT_OK;
        }
        if (arguments.mVersion) {
            System.out.println("sequoiahilld " + VERSION);
            return EXIT_OK;
        }
        if (arguments.mConfig == null) {
            System.err.println("sequoiahilld: --config FILE is required; see --help");
            return EXIT_USAGE;
        }
        return runWith(arguments.mConfig, arguments.mCheckConfig, signals);
    }

    private static int runWith(String file, boolean isCheckOnly, Signals signals) {
        ParseResult<DaemonSettings> settings;
        try {
            settings = SettingsReader.parse(Files.readString(Path.of(file)));
        } catch (IOException e) {
            System.err.println("sequoiahilld: can't read " + file + ": " + e);
            return EXIT_SETTINGS;
        }
        if (!settings.isValid()) {
            System.err.println("sequoiahilld: " + file + " is invalid:");
            System.err.println(settings.describeFaults());
            return EXIT_SETTINGS;
        }
        if (isCheckOnly) {
            System.out.println(file + " is valid");
            return EXIT_OK;
        }
        return serve(settings.orElseThrow(), signals);
    }

    private static int serve(DaemonSettings settings, Signals signals) {
        Logging.configure(settings.log());
        try {
            Daemon daemon = DaggerProcessComponent.factory().create(settings).daemon();
            signals.onReload(() -> Logger.info("settings take effect at the next start only"));
            if (signals.isTerminationPending()) {
                Logger.info("terminated by a signal before it served");
                return EXIT_OK;
            }
            daemon.start();
            signals.onTerminate(daemon::stop);
            daemon.awaitStop();
            return EXIT_OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        } catch (Exception e) {
            Logger.error(e, "the daemon failed");
            return EXIT_FAILED;
        }
    }
}
