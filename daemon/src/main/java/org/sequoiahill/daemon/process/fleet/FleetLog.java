package org.sequoiahill.daemon.process.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiahill.daemon.process.log.GroupLog;
import org.sequoiahill.daemon.process.log.LogRole;
import org.sequoiahill.daemon.process.log.StoreGroup;
import org.tinylog.Logger;

/**
 * The log of the fleet's state, opened anew after its disk has failed.
 *
 * <p>A log stops for good once a write fails, since what the disk then holds isn't known. Reading
 * the files again settles that, so a store whose disk was full or broken for a while takes part
 * again without a restart of the process.
 */
public final class FleetLog {
    private static final Duration REOPEN_INTERVAL = Duration.ofMillis(500);

    private final Opener mOpener;
    private volatile StoreGroup mGroup;
    private boolean mIsFailing;

    private FleetLog(Opener opener, StoreGroup group) {
        mOpener = opener;
        mGroup = group;
    }

    /** Opens the files of the log. */
    @FunctionalInterface
    public interface Opener {
        /** Returns the log as the files hold it, not yet started. */
        StoreGroup open() throws IOException;
    }

    /**
     * Returns the opened log.
     *
     * @throws IOException where the files can't be opened at first
     */
    public static FleetLog open(Opener opener) throws IOException {
        return new FleetLog(opener, opener.open());
    }

    /** Starts to take part, and to look after the files. */
    public void start(ScheduledExecutorService scheduler) {
        mGroup.log().start();
        scheduler.scheduleWithFixedDelay(
                this::reopenIfStopped,
                REOPEN_INTERVAL.toMillis(),
                REOPEN_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Returns the log as it runs now. */
    public GroupLog log() {
        return mGroup.log();
    }

    /** Returns who answers the other stores. */
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
            mIsFailing = false;
            Logger.info("the log takes part again");
        } catch (IOException e) {
            if (!mIsFailing) {
                Logger.warn("the log can't be opened again: {}", e.toString());
            }
            mIsFailing = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
