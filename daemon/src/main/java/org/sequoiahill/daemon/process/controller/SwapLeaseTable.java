package org.sequoiahill.daemon.process.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.protocol.document.ServiceDocument;

/**
 * Decides who may swap now, so that the bounds of the document hold in each data centre.
 *
 * <p>Turns are leases in the leader's memory, so a new leader grants none until those of its
 * predecessor have ended. Reads no clock. Not safe for use by several threads.
 */
public final class SwapLeaseTable {
    private final Duration mLease;
    private final Map<TurnKey, Map<String, Duration>> mHolders = new HashMap<>();
    private long mTerm;
    private Duration mQuietUntil = Duration.ZERO;

    private SwapLeaseTable(Duration lease) {
        mLease = lease;
    }

    /** Returns a table that grants turns for a time. */
    public static SwapLeaseTable of(Duration lease) {
        return new SwapLeaseTable(lease);
    }

    /** Whether a turn is granted. */
    public enum Verdict {
        /** The agent may swap until the lease ends. */
        GRANTED,
        /** The document is not known here. */
        UNKNOWN_SERVICE,
        /** The document states another version by now. */
        OTHER_VERSION,
        /** The leader is new and waits for the turns of its predecessor to end. */
        NEW_LEADER,
        /** As many endpoints swap as the document allows. */
        OTHERS_SWAP,
        /** Too few endpoints would go on serving. */
        TOO_FEW_SERVE
    }

    /**
     * A wish to swap.
     *
     * @param service name of the service
     * @param dataCentre data centre of the endpoint
     * @param vm VM of the endpoint
     * @param version digest of the version
     * @param serving endpoints of the service that serve in the data centre
     * @param isIdle whether the endpoint serves nothing
     */
    public record Wish(
            String service,
            String dataCentre,
            String vm,
            String version,
            int serving,
            boolean isIdle) {}

    /** Decides on a wish in a term of this leader. */
    public Verdict decide(Wish wish, Optional<ServiceDocument> document, long term, Duration now) {
        if (term != mTerm) {
            mTerm = term;
            mHolders.clear();
            mQuietUntil = now.plus(mLease);
        }
        if (document.isEmpty()) {
            return Verdict.UNKNOWN_SERVICE;
        }
        if (wish.isIdle()) {
            return Verdict.GRANTED;
        }
        boolean isStated =
                document.get()
                        .version()
                        .filter(version -> version.manifestDigest().equals(wish.version()))
                        .isPresent();
        if (!isStated) {
            return Verdict.OTHER_VERSION;
        }
        if (mQuietUntil.compareTo(now) > 0) {
            return Verdict.NEW_LEADER;
        }
        return grant(wish, document.get().rollout(), now);
    }

    /** Takes a turn back. */
    public void giveBack(Wish wish) {
        holders(wish).remove(wish.vm());
    }

    private Verdict grant(Wish wish, ServiceDocument.Rollout rollout, Duration now) {
        Map<String, Duration> holders = holders(wish);
        holders.values().removeIf(expiry -> expiry.compareTo(now) <= 0);
        if (!holders.containsKey(wish.vm())) {
            if (holders.size() >= rollout.maxUnavailable()) {
                return Verdict.OTHERS_SWAP;
            }
            if (wish.serving() - holders.size() - 1 < rollout.minServing()) {
                return Verdict.TOO_FEW_SERVE;
            }
        }
        holders.put(wish.vm(), now.plus(mLease));
        return Verdict.GRANTED;
    }

    private Map<String, Duration> holders(Wish wish) {
        TurnKey key = new TurnKey(wish.service(), wish.dataCentre());
        return mHolders.computeIfAbsent(key, k -> new HashMap<>());
    }

    private record TurnKey(String service, String dataCentre) {}
}
