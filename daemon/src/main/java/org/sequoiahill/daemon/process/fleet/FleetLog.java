package org.sequoiahill.daemon.process.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.daemon.process.log.GroupLog;
import org.sequoiahill.daemon.process.log.LogRole;
import org.sequoiahill.daemon.process.log.StoreGroup;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.tinylog.Logger;

/**
 * The replicated log of the fleet's state, reopened after a disk failure.
 *
 * <p>A log stops permanently after a failed write because the content of its files is then unknown.
 * Reopening reads the files and syncs their content anew, so a store whose disk was full or broken
 * for a while rejoins without a restart of the process.
 */
public final class FleetLog {
    private static final Duration REOPEN_INTERVAL = Duration.ofMillis(500);

    private final Opener mOpener;
    private volatile StoreGroup mGroup;
    private String mLastFailure = "";

    private FleetLog(Opener opener, StoreGroup group) {
        mOpener = opener;
        mGroup = group;
    }

    /** Opens the log from its files. */
    @FunctionalInterface
    public interface Opener {
        /** Returns the log with the content of its files, not yet started. */
        StoreGroup open() throws IOException;
    }

    /**
     * Returns the opened log.
     *
     * @throws IOException if the files can't be opened
     */
    public static FleetLog open(Opener opener) throws IOException {
        return new FleetLog(opener, opener.open());
    }

    /** Starts the log and the periodic check that reopens it once it has stopped. */
    public void start(ScheduledExecutorService scheduler) {
        mGroup.log().start();
        PeriodicTasks.schedule(scheduler, REOPEN_INTERVAL, "log check", this::reopenIfStopped);
    }

    /** Returns the current log. */
    public GroupLog log() {
        return mGroup.log();
    }

    /** Returns the current store group, which handles calls of the other stores. */
    public StoreGroup group() {
        return mGroup;
    }

    private void reopenIfStopped() {
        if (mGroup.log().role() != LogRole.STOPPED) {
            return;
        }
        try {
            mGroup.log().awaitEnd();
            StoreGroup group = mOpener.open();
            group.log().start();
            mGroup = group;
            mLastFailure = "";
            Logger.info("the fleet log was reopened and rejoins its group");
        } catch (IOException | RuntimeException e) {
            if (!mLastFailure.equals(e.toString())) {
                Logger.warn("the fleet log can't be reopened: {}", e.toString());
            }
            mLastFailure = e.toString();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
