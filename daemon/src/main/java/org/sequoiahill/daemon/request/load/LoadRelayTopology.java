package org.sequoiahill.daemon.request.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiahill.protocol.gen.Participant;

/**
 * Determines which entry relays the loads of engines to which other entries.
 *
 * <p>If each agent reported to each entry, the number of calls would grow with the product of both,
 * too many for a fleet of hundreds of VMs. Instead, one entry per data centre collects the loads
 * that the agents there report, and relays them to its peers in the data centre and to the
 * collectors of the other data centres.
 */
public final class LoadRelayTopology {
    private static final Comparator<Participant> ORDER = Comparator.comparing(Participant::getVm);

    private final List<Participant> mEntries;
    private final Map<String, List<Participant>> mByDataCentre = new TreeMap<>();

    private LoadRelayTopology(List<Participant> entries) {
        mEntries = entries.stream().sorted(ORDER).toList();
        for (Participant entry : mEntries) {
            mByDataCentre
                    .computeIfAbsent(entry.getDataCentre(), name -> new ArrayList<>())
                    .add(entry);
        }
    }

    /** Returns the topology of the given entries. */
    public static LoadRelayTopology among(List<Participant> entries) {
        return new LoadRelayTopology(entries);
    }

    /**
     * Returns the entry that collects the loads of a data centre; an entry of another data centre
     * if it has none.
     *
     * @param failures number of failed calls to collectors of the data centre; each of them makes
     *     the next entry the collector
     */
    public Optional<Participant> collector(String dataCentre, int failures) {
        List<Participant> candidates = mByDataCentre.getOrDefault(dataCentre, mEntries);
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(failures, candidates.size())));
    }

    /** Returns the entries of a data centre other than the one on a VM. */
    List<Participant> peersIn(String vm, String dataCentre) {
        return mByDataCentre.getOrDefault(dataCentre, List.of()).stream()
                .filter(entry -> !entry.getVm().equals(vm))
                .toList();
    }

    /** Returns the other data centres that have entries. */
    List<String> otherDataCentres(String dataCentre) {
        return mByDataCentre.keySet().stream().filter(name -> !name.equals(dataCentre)).toList();
    }

    int entryCount() {
        return mEntries.size();
    }
}
