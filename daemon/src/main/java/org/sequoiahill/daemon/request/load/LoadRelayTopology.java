package org.sequoiahill.daemon.request.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiahill.protocol.gen.Participant;

/**
 * Says which entry passes the loads of engines on to which others.
 *
 * <p>Answers a fleet of hundreds of VMs: were each agent to tell each entry, the calls would grow
 * with the product of both. So in each data centre one entry collects what the agents there tell,
 * and passes it on to the entries beside it and to the collectors of the other data centres.
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

    /** Returns the paths between entries. */
    public static LoadRelayTopology among(List<Participant> entries) {
        return new LoadRelayTopology(entries);
    }

    /**
     * Returns the entry that collects the loads of a data centre; one of another data centre where
     * it has none.
     *
     * @param failures how many collectors in a row could not be reached
     */
    public Optional<Participant> collector(String dataCentre, int failures) {
        List<Participant> near = mByDataCentre.getOrDefault(dataCentre, mEntries);
        return near.isEmpty()
                ? Optional.empty()
                : Optional.of(near.get(Math.floorMod(failures, near.size())));
    }

    /** Returns the other entries of a data centre. */
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
