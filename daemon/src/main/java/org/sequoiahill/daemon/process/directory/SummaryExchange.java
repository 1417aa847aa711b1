package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.protocol.gen.DataCentreSummary;
import org.tinylog.Logger;

/**
 * Exchanges summaries with one entry of each other data centre, another one each time; of two data
 * centres, the entries of the one whose name comes first begin.
 */
final class SummaryExchange {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration LEAST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MOST_INTERVAL = Duration.ofSeconds(5);

    /** Bytes a second that an entry may spend on summaries. */
    private static final int BYTES_PER_SECOND = 800;

    /** Bytes of a summary without services, and of one service in it. */
    private static final int SUMMARY_BYTES = 80;

    private static final int SERVICE_BYTES = 65;

    private final Map<String, List<PeerVm>> mEntries = new TreeMap<>();
    private final String mDataCentre;
    private final ControlClient mClient;
    private final MonotonicClock mClock;
    private final DataCentreTable mTable;
    private final Supplier<DataCentreSummary> mOwn;
    private int mTurn;
    private Duration mNext = Duration.ZERO;

    SummaryExchange(
            String dataCentre,
            List<PeerVm> others,
            ControlClient client,
            MonotonicClock clock,
            DataCentreTable table,
            Supplier<DataCentreSummary> own) {
        for (PeerVm entry : others) {
            mEntries.computeIfAbsent(entry.dataCentre(), name -> new ArrayList<>()).add(entry);
        }
        mDataCentre = dataCentre;
        mClient = client;
        mClock = clock;
        mTable = table;
        mOwn = own;
    }

    void start(ScheduledExecutorService scheduler) {
        Periodic.every(scheduler, TICK, "exchange", this::exchangeIfDue);
    }

    /** Tells every entry of every other data centre at once, as this one stops. */
    void sendToAll() {
        DataCentreSummary own = mOwn.get();
        mEntries.values().forEach(entries -> entries.forEach(entry -> tell(entry, own)));
    }

    /** Returns the time between two exchanges at which the bytes stay in their bound. */
    static Duration interval(int dataCentres, int services) {
        long bytes = (long) dataCentres * (SUMMARY_BYTES + (long) SERVICE_BYTES * services);
        Duration interval = Duration.ofMillis(bytes * 1_000 / BYTES_PER_SECOND);
        if (interval.compareTo(LEAST_INTERVAL) < 0) {
            return LEAST_INTERVAL;
        }
        return interval.compareTo(MOST_INTERVAL) > 0 ? MOST_INTERVAL : interval;
    }

    /** Returns the time that a summary taken in stays valid. */
    Duration lease(DataCentreSummary summary) {
        return interval(mEntries.size(), summary.getServices().size()).multipliedBy(4);
    }

    private void exchangeIfDue() {
        if (mClock.now().compareTo(mNext) < 0) {
            return;
        }
        DataCentreSummary own = mOwn.get();
        mNext = mClock.now().plus(interval(mEntries.size(), own.getServices().size()));
        mTurn++;
        mEntries.forEach(
                (dataCentre, entries) -> {
                    if (mDataCentre.compareTo(dataCentre) < 0) {
                        tell(entries.get(Math.floorMod(mTurn, entries.size())), own);
                    }
                });
    }

    private void tell(PeerVm entry, DataCentreSummary own) {
        mClient.call(entry.control(), ServiceStub.DIRECTORY, client -> client.exchange(own))
                .whenComplete(
                        (summary, failure) -> {
                            if (failure != null) {
                                Logger.debug("entry {} failed: {}", entry.vm(), failure);
                            } else {
                                mTable.update(summary, lease(summary));
                            }
                        });
    }
}
