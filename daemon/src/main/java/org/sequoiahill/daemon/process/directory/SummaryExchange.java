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
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.protocol.gen.DataCentreSummary;
import org.tinylog.Logger;

/**
 * Exchanges summaries with one entry of each other data centre at a time, each entry in turn.
 * Between two data centres, entries of the one whose name sorts first start the exchange.
 */
final class SummaryExchange {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MAX_INTERVAL = Duration.ofSeconds(5);

    /** Bytes per second that an entry may use for summaries. */
    private static final int BYTES_PER_SECOND = 800;

    /** Bytes of a summary without services. */
    private static final int SUMMARY_BYTES = 80;

    /** Bytes of one service in a summary. */
    private static final int SERVICE_BYTES = 65;

    private final Map<String, List<PeerVm>> mEntriesByDataCentre = new TreeMap<>();
    private final String mDataCentre;
    private final ControlClient mClient;
    private final MonotonicClock mClock;
    private final DataCentreTable mTable;
    private final Supplier<DataCentreSummary> mOwnSummary;
    private int mRound;
    private Duration mNextExchangeAt = Duration.ZERO;

    SummaryExchange(
            String dataCentre,
            List<PeerVm> others,
            ControlClient client,
            MonotonicClock clock,
            DataCentreTable table,
            Supplier<DataCentreSummary> ownSummary) {
        for (PeerVm entry : others) {
            mEntriesByDataCentre
                    .computeIfAbsent(entry.dataCentre(), name -> new ArrayList<>())
                    .add(entry);
        }
        mDataCentre = dataCentre;
        mClient = client;
        mClock = clock;
        mTable = table;
        mOwnSummary = ownSummary;
    }

    void start(ScheduledExecutorService scheduler) {
        PeriodicTasks.schedule(scheduler, CHECK_INTERVAL, "exchange", this::exchangeIfDue);
    }

    /**
     * Sends the summary to every entry of every other data centre at once, when this entry drains.
     */
    void sendToAll() {
        DataCentreSummary ownSummary = mOwnSummary.get();
        mEntriesByDataCentre
                .values()
                .forEach(entries -> entries.forEach(entry -> exchangeWith(entry, ownSummary)));
    }

    /**
     * Returns the interval between exchanges that keeps their traffic within its limit, but at most
     * {@link #MAX_INTERVAL}.
     */
    static Duration interval(int dataCentres, int services) {
        long bytes = (long) dataCentres * (SUMMARY_BYTES + (long) SERVICE_BYTES * services);
        Duration interval = Duration.ofMillis(bytes * 1_000 / BYTES_PER_SECOND);
        if (interval.compareTo(MIN_INTERVAL) < 0) {
            return MIN_INTERVAL;
        }
        return interval.compareTo(MAX_INTERVAL) > 0 ? MAX_INTERVAL : interval;
    }

    /** Returns the time for which a received summary is valid. */
    Duration lease(DataCentreSummary summary) {
        return interval(mEntriesByDataCentre.size(), summary.getServices().size()).multipliedBy(4);
    }

    private void exchangeIfDue() {
        if (mClock.now().compareTo(mNextExchangeAt) < 0) {
            return;
        }
        DataCentreSummary ownSummary = mOwnSummary.get();
        mNextExchangeAt =
                mClock.now()
                        .plus(
                                interval(
                                        mEntriesByDataCentre.size(),
                                        ownSummary.getServices().size()));
        mRound++;
        mEntriesByDataCentre.forEach(
                (dataCentre, entries) -> {
                    if (mDataCentre.compareTo(dataCentre) < 0) {
                        exchangeWith(
                                entries.get(Math.floorMod(mRound, entries.size())), ownSummary);
                    }
                });
    }

    private void exchangeWith(PeerVm entry, DataCentreSummary ownSummary) {
        mClient.call(entry.control(), ServiceStub.DIRECTORY, client -> client.exchange(ownSummary))
                .whenComplete(
                        (summary, failure) -> {
                            if (failure != null) {
                                Logger.debug(
                                        "exchanging summaries with entry {} failed: {}",
                                        entry.vm(),
                                        failure);
                            } else {
                                mTable.update(summary, lease(summary));
                            }
                        });
    }
}
