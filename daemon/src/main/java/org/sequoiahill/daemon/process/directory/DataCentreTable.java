package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.DataCentreSummary;
import org.sequoiahill.protocol.gen.Peer;
import org.sequoiahill.protocol.gen.ServiceSummary;

/** Summaries of other data centres, as their entries tell them. */
public final class DataCentreTable {
    private final MonotonicClock mClock;
    private final Map<String, Held> mByVm = new ConcurrentHashMap<>();
    private final Map<PlaceKey, DataCentreTarget> mPlaces = new ConcurrentHashMap<>();

    private DataCentreTable(MonotonicClock clock) {
        mClock = clock;
    }

    /** Returns an empty table. */
    public static DataCentreTable of(MonotonicClock clock) {
        return new DataCentreTable(clock);
    }

    /**
     * Takes a summary in; one from an earlier incarnation of the entry is dropped.
     *
     * @param lease time that the summary stays valid
     */
    public void update(DataCentreSummary summary, Duration lease) {
        Duration expiry = mClock.now().plus(lease);
        mByVm.compute(
                summary.getSender().getVm(),
                (vm, held) -> {
                    boolean isOlder = held != null && isOlder(summary, held.summary());
                    return isOlder ? held : new Held(summary, expiry);
                });
        String dataCentre = summary.getSender().getDataCentre();
        for (ServiceSummary service : summary.getServices()) {
            totals(summary, service.getServiceName())
                    .applyTo(placeOf(dataCentre, service.getServiceName()).load());
        }
    }

    /** Returns the data centres that take requests of a service, with room or without. */
    public List<DataCentreTarget> offering(String service) {
        List<DataCentreTarget> result = new ArrayList<>();
        for (DataCentreSummary summary : current()) {
            if (summary.isDraining() || totals(summary, service).capacity() == 0) {
                continue;
            }
            DataCentreTarget place = placeOf(summary.getSender().getDataCentre(), service);
            if (!result.contains(place)) {
                result.add(place);
            }
        }
        return result;
    }

    /** Returns whether an entry has said that it takes nothing more. */
    public boolean isDraining(String vm) {
        Held held = mByVm.get(vm);
        return held != null
                && held.summary().isDraining()
                && held.expiry().compareTo(mClock.now()) > 0;
    }

    /** Returns all summaries whose lease is valid. */
    public Collection<DataCentreSummary> current() {
        Duration now = mClock.now();
        return mByVm.values().stream()
                .filter(held -> held.expiry().compareTo(now) > 0)
                .map(Held::summary)
                .toList();
    }

    /** Returns a few agents of a service elsewhere. */
    public List<Peer> agentsOf(String service) {
        Map<String, Peer> byVm = new TreeMap<>();
        for (DataCentreSummary summary : current()) {
            for (ServiceSummary entry : summary.getServices()) {
                if (entry.getServiceName().equals(service) && entry.isSetAgents()) {
                    entry.getAgents().forEach(agent -> byVm.put(agent.getVm(), agent));
                }
            }
        }
        return List.copyOf(byVm.values());
    }

    private DataCentreTarget placeOf(String dataCentre, String service) {
        return mPlaces.computeIfAbsent(
                new PlaceKey(dataCentre, service),
                key -> new DataCentreTarget(key.dataCentre(), TargetLoad.idle(0)));
    }

    private static boolean isOlder(DataCentreSummary offered, DataCentreSummary held) {
        return offered.getSender().getIncarnation() < held.getSender().getIncarnation();
    }

    private static Totals totals(DataCentreSummary summary, String service) {
        int running = 0;
        int capacity = 0;
        for (ServiceSummary entry : summary.getServices()) {
            if (entry.getServiceName().equals(service)) {
                running += entry.getRunning();
                capacity += entry.getCapacity();
            }
        }
        return new Totals(running, capacity);
    }

    /** The endpoints of a service in another data centre, asked through its entries. */
    public record DataCentreTarget(String name, TargetLoad load) implements RoutingTarget {}

    private record PlaceKey(String dataCentre, String service) {}

    private record Totals(int running, int capacity) {
        void applyTo(TargetLoad load) {
            load.report(running, capacity);
        }
    }

    private record Held(DataCentreSummary summary, Duration expiry) {}
}
