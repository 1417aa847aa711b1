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

/** Summaries of other data centres, as sent by their entries. */
public final class DataCentreTable {
    private final MonotonicClock mClock;
    private final Map<String, LeasedSummary> mByVm = new ConcurrentHashMap<>();
    private final Map<TargetKey, DataCentreTarget> mTargets = new ConcurrentHashMap<>();

    private DataCentreTable(MonotonicClock clock) {
        mClock = clock;
    }

    /** Returns an empty table. */
    public static DataCentreTable of(MonotonicClock clock) {
        return new DataCentreTable(clock);
    }

    /**
     * Stores a summary, unless one from a later incarnation of its entry is held. The load that it
     * reports is applied in either case.
     *
     * @param lease time for which the summary is valid
     */
    public void update(DataCentreSummary summary, Duration lease) {
        Duration expiry = mClock.now().plus(lease);
        mByVm.compute(
                summary.getSender().getVm(),
                (vm, held) -> {
                    boolean isOlder = held != null && isOlder(summary, held.summary());
                    return isOlder ? held : new LeasedSummary(summary, expiry);
                });
        String dataCentre = summary.getSender().getDataCentre();
        for (ServiceSummary service : summary.getServices()) {
            totalsOf(summary, service.getServiceName())
                    .applyTo(targetOf(dataCentre, service.getServiceName()).load());
        }
    }

    /**
     * Returns the data centres that serve a service, with or without free capacity, as reported by
     * entries that are not draining.
     */
    public List<DataCentreTarget> offering(String service) {
        List<DataCentreTarget> result = new ArrayList<>();
        for (DataCentreSummary summary : current()) {
            if (summary.isDraining() || totalsOf(summary, service).capacity() == 0) {
                continue;
            }
            DataCentreTarget target = targetOf(summary.getSender().getDataCentre(), service);
            if (!result.contains(target)) {
                result.add(target);
            }
        }
        return result;
    }

    /**
     * Returns whether an entry has reported that it is draining or that its data centre is out of
     * service.
     */
    public boolean isDraining(String vm) {
        LeasedSummary held = mByVm.get(vm);
        return held != null
                && held.summary().isDraining()
                && held.expiry().compareTo(mClock.now()) > 0;
    }

    /** Returns all summaries whose lease has not expired. */
    public Collection<DataCentreSummary> current() {
        Duration now = mClock.now();
        return mByVm.values().stream()
                .filter(held -> held.expiry().compareTo(now) > 0)
                .map(LeasedSummary::summary)
                .toList();
    }

    /** Returns a few agents of a service in other data centres. */
    public List<Peer> agentsOf(String service) {
        Map<String, Peer> byVm = new TreeMap<>();
        for (DataCentreSummary summary : current()) {
            for (ServiceSummary each : summary.getServices()) {
                if (each.getServiceName().equals(service) && each.isSetAgents()) {
                    each.getAgents().forEach(agent -> byVm.put(agent.getVm(), agent));
                }
            }
        }
        return List.copyOf(byVm.values());
    }

    private DataCentreTarget targetOf(String dataCentre, String service) {
        return mTargets.computeIfAbsent(
                new TargetKey(dataCentre, service),
                key -> new DataCentreTarget(key.dataCentre(), TargetLoad.idle(0)));
    }

    private static boolean isOlder(DataCentreSummary received, DataCentreSummary held) {
        return received.getSender().getIncarnation() < held.getSender().getIncarnation();
    }

    private static LoadTotals totalsOf(DataCentreSummary summary, String service) {
        int running = 0;
        int capacity = 0;
        for (ServiceSummary each : summary.getServices()) {
            if (each.getServiceName().equals(service)) {
                running += each.getRunning();
                capacity += each.getCapacity();
            }
        }
        return new LoadTotals(running, capacity);
    }

    /** The endpoints of a service in another data centre, reached through its entries. */
    public record DataCentreTarget(String name, TargetLoad load) implements RoutingTarget {}

    private record TargetKey(String dataCentre, String service) {}

    private record LoadTotals(int running, int capacity) {
        void applyTo(TargetLoad load) {
            load.report(running, capacity);
        }
    }

    private record LeasedSummary(DataCentreSummary summary, Duration expiry) {}
}
