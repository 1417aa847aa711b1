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
    private static final Duration LEASE = Duration.ofSeconds(3);

    private final MonotonicClock mClock;
    private final Map<String, Held> mByVm = new ConcurrentHashMap<>();

    private DataCentreTable(MonotonicClock clock) {
        mClock = clock;
    }

    /** Returns an empty table. */
    public static DataCentreTable of(MonotonicClock clock) {
        return new DataCentreTable(clock);
    }

    /** Takes a summary in. */
    public void offer(DataCentreSummary summary) {
        Held held = new Held(summary, mClock.now().plus(LEASE));
        mByVm.put(summary.getSender().getVm(), held);
    }

    /** Returns the entries elsewhere whose data centre has serving endpoints of a service. */
    public List<DataCentreSummary> offering(String service) {
        List<DataCentreSummary> result = new ArrayList<>();
        for (DataCentreSummary summary : current()) {
            if (!summary.isDraining() && hasEndpoints(summary, service)) {
                result.add(summary);
            }
        }
        return result;
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

    private static boolean hasEndpoints(DataCentreSummary summary, String service) {
        for (ServiceSummary entry : summary.getServices()) {
            if (entry.getServiceName().equals(service) && entry.getEndpoints() > 0) {
                return true;
            }
        }
        return false;
    }

    private record Held(DataCentreSummary summary, Duration expiry) {}
}
