package org.sequoiahill.daemon.process.logging;

import org.sequoiahill.daemon.process.settings.DaemonSettings.LogSettings;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/** Configures the logging library from the settings. */
public final class Logging {
    private Logging() {}

    /** Applies the settings; must be called before the first log line. */
    public static void configure(LogSettings settings) {
        configureLevels(settings.level());
        settings.file().ifPresent(file -> Configuration.set("writer.file", file));
    }

    /** Logs to standard output; must be called before the first log line. */
    public static void configureStandardOutput(String level) {
        configureLevels(level);
        Configuration.set("writer.stream", "out");
    }

    /** Writes all log lines and ends logging; for a process that ends without shutdown hooks. */
    public static void close() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void configureLevels(String level) {
        Configuration.set("writer", JsonLineWriter.class.getName());
        Configuration.set("writer.level", level);
        Configuration.set("level@org.eclipse.jetty", "warn");
        Configuration.set("level@org.apache.thrift", "error");
    }
}
