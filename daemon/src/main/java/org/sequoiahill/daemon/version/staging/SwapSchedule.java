package org.sequoiahill.daemon.version.staging;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Decides when an engine may stop serving to load a new version.
 *
 * <p>The agents are ordered so that the data centres interleave. Of the serving engines that lack
 * the version, the first in this order may load: at most a third of all serving engines, rounded
 * up. Near the deadline for the version an agent loads regardless of the others, because after the
 * deadline an engine with an old version can't serve requests.
 */
public final class SwapSchedule {
    /** Number of groups in which the engines load one after the other. */
    private static final int GROUPS = 3;

    private SwapSchedule() {}

    /**
     * Returns whether an agent's engine may load now.
     *
     * @param self VM name of the agent
     * @param versions version that each agent's engine has loaded, 0 for none
     * @param target version to load
     * @param age time since the first version newer than the loaded one was published
     * @param maxWait age from which an agent does not wait for others
     */
    public static boolean mayLoad(
            String self, Map<String, Long> versions, long target, Duration age, Duration maxWait) {
        if (age.compareTo(maxWait) >= 0) {
            return true;
        }
        List<String> serving =
                versions.entrySet().stream()
                        .filter(entry -> entry.getValue() > 0)
                        .map(Map.Entry::getKey)
                        .sorted(AgentOrder.COMPARATOR)
                        .toList();
        long pendingBefore =
                serving.stream()
                        .filter(name -> AgentOrder.COMPARATOR.compare(name, self) < 0)
                        .filter(name -> versions.getOrDefault(name, 0L) < target)
                        .count();
        int groupSize = (serving.size() + GROUPS - 1) / GROUPS;
        return pendingBefore < Math.max(1, groupSize);
    }
}
