package org.sequoiahill.daemon.version.staging;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Says when an engine may stop serving to load a new version.
 *
 * <p>Agents go in an order that mixes the data centres, a third of them at a time, each as soon as
 * enough of those before it have the version. When the bound comes near an agent goes whatever the
 * others do, since an engine with an old version is of no use after it.
 */
public final class SwapSchedule {
    /** Part of the engines that load at the same time. */
    private static final int GROUPS = 3;

    private SwapSchedule() {}

    /**
     * Returns whether it is an agent's turn.
     *
     * @param self name of the agent
     * @param versions version that each agent's engine has loaded, 0 for none
     * @param target version to load
     * @param age time since the version was named
     * @param lastCall age from which an agent waits for nobody
     */
    public static boolean mayLoad(
            String self, Map<String, Long> versions, long target, Duration age, Duration lastCall) {
        if (age.compareTo(lastCall) >= 0) {
            return true;
        }
        List<String> serving =
                versions.entrySet().stream()
                        .filter(entry -> entry.getValue() > 0)
                        .map(Map.Entry::getKey)
                        .sorted(AgentOrder.COMPARATOR)
                        .toList();
        long ahead =
                serving.stream()
                        .filter(name -> AgentOrder.COMPARATOR.compare(name, self) < 0)
                        .filter(name -> versions.getOrDefault(name, 0L) < target)
                        .count();
        int atOnce = (serving.size() + GROUPS - 1) / GROUPS;
        return ahead < Math.max(1, atOnce);
    }
}
