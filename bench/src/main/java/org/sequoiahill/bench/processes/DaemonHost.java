package org.sequoiahill.bench.processes;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.sequoiahill.daemon.process.DaggerProcessComponent;
import org.sequoiahill.daemon.process.logging.Logging;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.LogSettings;
import org.sequoiahill.daemon.process.settings.SettingsReader;

/** Runs many daemons in one process so that a deployment of the target size fits on one VM. */
public final class DaemonHost {
    private DaemonHost() {}

    /** Starts a daemon for each settings file in the folder named by the first argument. */
    public static void main(String[] args) throws Exception {
        List<Path> files;
        try (Stream<Path> listed = Files.list(Path.of(args[0]))) {
            files = listed.filter(path -> path.toString().endsWith(".json")).sorted().toList();
        }
        Logging.configure(new LogSettings("warn", Optional.empty()));
        for (Path file : files) {
            DaemonSettings settings = SettingsReader.parse(Files.readString(file)).orElseThrow();
            DaggerProcessComponent.factory().create(settings).daemon().start();
        }
        new CountDownLatch(1).await();
    }
}
