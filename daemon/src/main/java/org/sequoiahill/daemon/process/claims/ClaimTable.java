package org.sequoiahill.daemon.process.claims;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.protocol.gen.ClaimKey;
import org.sequoiahill.protocol.gen.ClaimRecord;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.ClaimState;
import org.sequoiahill.protocol.gen.ClaimStatus;
import org.sequoiahill.protocol.gen.ClaimsSnapshot;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.Outcome;
import org.sequoiahill.protocol.gen.ReleaseRequest;

/** Decides on claims; deterministic, as its state depends only on the commands and their times. */
final class ClaimTable {
    private static final int RECORD_OVERHEAD_BYTES = 64;

    private final ClaimLimits mLimits;
    private final Map<ClaimKey, ClaimRecord> mHeld = new LinkedHashMap<>();
    private final Map<ClaimKey, ClaimRecord> mFinished = new LinkedHashMap<>();
    private final ExpiredClaims mExpired = new ExpiredClaims();
    private long mNowMillis;
    private long mBytes;

    ClaimTable(ClaimLimits limits) {
        mLimits = limits;
    }

    /**
     * Result of a command.
     *
     * @param status result to return to the requester
     * @param record record to return with it, if any
     */
    record Decision(ClaimStatus status, @Nullable ClaimRecord record) {}

    /** Advances the time and expires records; a time before the latest one counts as the latest. */
    void advanceTimeTo(long nowMillis) {
        mNowMillis = Math.max(mNowMillis, nowMillis);
        expire(mFinished);
        expire(mHeld);
        mExpired.evict(mNowMillis, mLimits.expiredRetention());
    }

    Decision claim(ClaimRequest request) {
        ClaimKey key = request.getKey();
        ClaimRecord existing = recordOf(key);
        if (existing != null && existing.getState() != ClaimState.RELEASED) {
            return decideOnExisting(request, existing);
        }
        boolean isReleasedAttempt =
                existing != null && existing.getAttempt() == request.getAttempt();
        if (isReleasedAttempt || mExpired.contains(key)) {
            return new Decision(ClaimStatus.EXPIRED, null);
        }
        ClaimRecord record =
                new ClaimRecord(
                        key,
                        request.bufferForContentDigest(),
                        request.getAttempt(),
                        request.getAgentVm(),
                        request.getAgentIncarnation(),
                        ClaimState.HELD,
                        mNowMillis);
        return putIfRoom(record)
                ? new Decision(ClaimStatus.CLAIMED, record)
                : new Decision(ClaimStatus.UNAVAILABLE, null);
    }

    Decision lookUp(ClaimRequest request) {
        ClaimRecord existing = recordOf(request.getKey());
        if (existing == null) {
            return decideOnAbsent(request.getKey());
        }
        return new Decision(statusOf(existing), existing);
    }

    Decision release(ReleaseRequest request) {
        ClaimRecord existing = recordOf(request.getKey());
        if (existing == null) {
            return releaseUnclaimed(request);
        }
        boolean isOwn = existing.getAttempt() == request.getAttempt();
        if (existing.getState() != ClaimState.HELD || !isOwn) {
            return new Decision(statusOf(existing), existing);
        }
        replace(existing, ClaimState.RELEASED, null);
        return new Decision(ClaimStatus.FREE, null);
    }

    Decision complete(CompleteRequest request) {
        ClaimRecord existing = recordOf(request.getKey());
        if (existing == null) {
            return decideOnAbsent(request.getKey());
        }
        boolean isOwn = existing.getAttempt() == request.getAttempt();
        if (existing.getState() != ClaimState.HELD || !isOwn) {
            return new Decision(statusOf(existing), existing);
        }
        Outcome outcome = request.getOutcome();
        boolean isKept =
                request.isOutcomeKnown()
                        && outcome != null
                        && outcome.getBody().length <= mLimits.outcomeBytes();
        ClaimRecord record =
                replace(
                        existing,
                        isKept ? ClaimState.DONE : ClaimState.UNKNOWN,
                        isKept ? outcome : null);
        return new Decision(statusOf(record), record);
    }

    /** Returns the number of records, including those of released claims, without expired keys. */
    int size() {
        return mHeld.size() + mFinished.size();
    }

    /** Returns the total size of these records, in bytes. */
    long bytes() {
        return mBytes;
    }

    void writeTo(ClaimsSnapshot snapshot) {
        snapshot.setNowMillis(mNowMillis);
        snapshot.setHeld(new ArrayList<>(mHeld.values()));
        snapshot.setFinished(new ArrayList<>(mFinished.values()));
        snapshot.setExpired(mExpired.records());
    }

    void restore(ClaimsSnapshot snapshot) {
        mHeld.clear();
        mFinished.clear();
        mBytes = 0;
        mNowMillis = snapshot.getNowMillis();
        restore(mHeld, snapshot.getHeld());
        restore(mFinished, snapshot.getFinished());
        mExpired.restore(snapshot.getExpired());
    }

    private void restore(Map<ClaimKey, ClaimRecord> records, List<ClaimRecord> source) {
        for (ClaimRecord record : source) {
            records.put(record.getKey(), record);
            mBytes += bytesOf(record);
        }
    }

    private Decision decideOnExisting(ClaimRequest request, ClaimRecord existing) {
        if (!Arrays.equals(existing.getContentDigest(), request.getContentDigest())) {
            return new Decision(ClaimStatus.MISMATCH, null);
        }
        boolean isSameAttempt =
                existing.getState() == ClaimState.HELD
                        && existing.getAttempt() == request.getAttempt()
                        && existing.getAgentVm().equals(request.getAgentVm())
                        && existing.getAgentIncarnation() == request.getAgentIncarnation();
        return new Decision(isSameAttempt ? ClaimStatus.CLAIMED : statusOf(existing), existing);
    }

    /** Records the release of an unclaimed key, so that a late claim of the attempt is refused. */
    private Decision releaseUnclaimed(ReleaseRequest request) {
        if (mExpired.contains(request.getKey())) {
            return new Decision(ClaimStatus.EXPIRED, null);
        }
        ClaimRecord record =
                new ClaimRecord(
                        request.getKey(),
                        ByteBuffer.allocate(0),
                        request.getAttempt(),
                        "",
                        0,
                        ClaimState.RELEASED,
                        mNowMillis);
        return putIfRoom(record)
                ? new Decision(ClaimStatus.FREE, null)
                : new Decision(ClaimStatus.UNAVAILABLE, null);
    }

    private Decision decideOnAbsent(ClaimKey key) {
        boolean isExpired = mExpired.contains(key);
        return new Decision(isExpired ? ClaimStatus.EXPIRED : ClaimStatus.FREE, null);
    }

    private static ClaimStatus statusOf(ClaimRecord record) {
        return switch (record.getState()) {
            case HELD -> ClaimStatus.HELD;
            case DONE -> ClaimStatus.COMPLETED;
            case UNKNOWN -> ClaimStatus.OUTCOME_UNKNOWN;
            case RELEASED -> ClaimStatus.FREE;
        };
    }

    private @Nullable ClaimRecord recordOf(ClaimKey key) {
        ClaimRecord existing = mHeld.get(key);
        return existing != null ? existing : mFinished.get(key);
    }

    private ClaimRecord replace(ClaimRecord existing, ClaimState state, @Nullable Outcome outcome) {
        ClaimRecord record = existing.deepCopy();
        record.setState(state);
        record.setOutcome(outcome);
        record.setSinceMillis(mNowMillis);
        remove(existing);
        add(record);
        evictOverLimits();
        return record;
    }

    /** Adds a record, replacing that of its key; returns false if the limits leave no room. */
    private boolean putIfRoom(ClaimRecord record) {
        ClaimRecord previous = recordOf(record.getKey());
        if (previous != null) {
            remove(previous);
        }
        add(record);
        if (evictOverLimits()) {
            return true;
        }
        remove(record);
        if (previous != null) {
            add(previous);
        }
        return false;
    }

    private void add(ClaimRecord record) {
        Map<ClaimKey, ClaimRecord> records =
                record.getState() == ClaimState.HELD ? mHeld : mFinished;
        records.put(record.getKey(), record);
        mBytes += bytesOf(record);
    }

    private void remove(ClaimRecord record) {
        mHeld.remove(record.getKey());
        mFinished.remove(record.getKey());
        mBytes -= bytesOf(record);
    }

    /**
     * Evicts the oldest finished records until the limits hold. Returns false if they still don't
     * hold, because no finished record is left or no more expired keys can be recorded.
     */
    private boolean evictOverLimits() {
        while (size() > mLimits.entries() || mBytes > mLimits.bytes()) {
            Iterator<ClaimRecord> oldest = mFinished.values().iterator();
            if (!oldest.hasNext() || !expire(oldest.next())) {
                return false;
            }
        }
        return true;
    }

    /** Expires the records whose retention has elapsed, unless the limit of expired keys is hit. */
    private void expire(Map<ClaimKey, ClaimRecord> records) {
        long cutoffMillis = mNowMillis - mLimits.retention().toMillis();
        while (!records.isEmpty()) {
            ClaimRecord oldest = records.values().iterator().next();
            if (oldest.getSinceMillis() > cutoffMillis || !expire(oldest)) {
                return;
            }
        }
    }

    /**
     * Removes a record and, unless it is released, records its key as expired. Returns false,
     * without a change, if the limit of expired keys is reached.
     */
    private boolean expire(ClaimRecord record) {
        if (record.getState() != ClaimState.RELEASED) {
            if (mExpired.size() >= mLimits.expiredKeys()) {
                return false;
            }
            mExpired.add(record.getKey(), mNowMillis);
        }
        remove(record);
        return true;
    }

    private static long bytesOf(ClaimRecord record) {
        ClaimKey key = record.getKey();
        long bytes = (long) RECORD_OVERHEAD_BYTES + record.getContentDigest().length;
        bytes += key.getOrganisation().length() + key.getServiceName().length();
        bytes += key.getRoute().length() + key.getIdempotencyKey().length();
        Outcome outcome = record.getOutcome();
        return outcome == null ? bytes : bytes + outcome.getBody().length;
    }
}
