package org.sequoiahill.daemon.process.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.protocol.document.ServiceDocument;

/**
 * Grants swap leases, so that the rollout limits of a document hold in each data centre.
 *
 * <p>The leases are kept in the leader's memory only, so a new leader grants none to endpoints that
 * serve until those of its predecessor have expired. Reads no clock. Not thread-safe.
 */
public final class SwapLeaseTable {
    private final Duration mLease;
    private final Map<LeaseGroup, Map<String, Duration>> mHolders = new HashMap<>();
    private long mTerm;
    private Duration mNoGrantsUntil = Duration.ZERO;

    private SwapLeaseTable(Duration lease) {
        mLease = lease;
    }

    /** Returns a table whose leases last for {@code lease}. */
    public static SwapLeaseTable of(Duration lease) {
        return new SwapLeaseTable(lease);
    }

    /** Decision on a request. */
    public enum Verdict {
        /** The agent may swap until the lease expires. */
        GRANTED,
        /** This process knows no document of the service. */
        UNKNOWN_SERVICE,
        /** The document now specifies another version. */
        OTHER_VERSION,
        /** The leader is new and waits until the leases of its predecessor have expired. */
        NEW_LEADER,
        /** As many endpoints are swapping as the document allows. */
        OTHERS_SWAP,
        /** Too few endpoints would continue to serve. */
        TOO_FEW_SERVE
    }

    /**
     * A request for a swap lease.
     *
     * @param service name of the service
     * @param dataCentre data centre of the endpoint
     * @param vm VM of the endpoint
     * @param version manifest digest of the version
     * @param serving number of endpoints of the service that serve in the data centre
     * @param isIdle whether the endpoint serves nothing, so that its swap is granted without regard
     *     to the limits
     */
    public record LeaseRequest(
            String service,
            String dataCentre,
            String vm,
            String version,
            int serving,
            boolean isIdle) {}

    /** Decides on a request in a term of this leader. */
    public Verdict decide(
            LeaseRequest request, Optional<ServiceDocument> document, long term, Duration now) {
        if (term != mTerm) {
            mTerm = term;
            mHolders.clear();
            mNoGrantsUntil = now.plus(mLease);
        }
        if (document.isEmpty()) {
            return Verdict.UNKNOWN_SERVICE;
        }
        if (request.isIdle()) {
            return Verdict.GRANTED;
        }
        boolean isSpecified =
                document.get()
                        .version()
                        .filter(version -> version.manifestDigest().equals(request.version()))
                        .isPresent();
        if (!isSpecified) {
            return Verdict.OTHER_VERSION;
        }
        if (mNoGrantsUntil.compareTo(now) > 0) {
            return Verdict.NEW_LEADER;
        }
        return grant(request, document.get().rollout(), now);
    }

    /** Releases the lease of the requesting VM. */
    public void release(LeaseRequest request) {
        holders(request).remove(request.vm());
    }

    private Verdict grant(LeaseRequest request, ServiceDocument.Rollout rollout, Duration now) {
        Map<String, Duration> holders = holders(request);
        holders.values().removeIf(expiry -> expiry.compareTo(now) <= 0);
        if (!holders.containsKey(request.vm())) {
            if (holders.size() >= rollout.maxUnavailable()) {
                return Verdict.OTHERS_SWAP;
            }
            if (request.serving() - holders.size() - 1 < rollout.minServing()) {
                return Verdict.TOO_FEW_SERVE;
            }
        }
        holders.put(request.vm(), now.plus(mLease));
        return Verdict.GRANTED;
    }

    private Map<String, Duration> holders(LeaseRequest request) {
        LeaseGroup key = new LeaseGroup(request.service(), request.dataCentre());
        return mHolders.computeIfAbsent(key, k -> new HashMap<>());
    }

    private record LeaseGroup(String service, String dataCentre) {}
}
