package org.sequoiahill.daemon.request.quarantine;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * Requests, by fingerprint, that were in flight when endpoints died.
 *
 * <p>Each death has an id, so that a death reported by several entries counts once. The number of
 * records and their age are limited; the least recently updated record is evicted first.
 */
public final class SuspectTable {
    /** Number of deaths after which a request is quarantined. */
    public static final int DEATHS_TO_QUARANTINE = 2;

    /** Time after the last death for which a request remains a suspect or quarantined. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    private final MonotonicClock mClock;
    private final int mMaxRecords;
    private final Map<ByteBuffer, DeathRecord> mRecords = new LinkedHashMap<>();

    private SuspectTable(MonotonicClock clock, int maxRecords) {
        mClock = clock;
        mMaxRecords = maxRecords;
    }

    /** Returns an empty table that holds at most {@code maxRecords} fingerprints. */
    public static SuspectTable of(MonotonicClock clock, int maxRecords) {
        return new SuspectTable(clock, maxRecords);
    }

    /**
     * One suspect, as exchanged between entries.
     *
     * @param fingerprint fingerprint of the request
     * @param deaths ids of the deaths
     * @param age time since the last death
     */
    public record Suspect(ByteBuffer fingerprint, Set<Long> deaths, Duration age) {}

    private record DeathRecord(Set<Long> deaths, Duration last) {}

    /**
     * Adds the deaths of a suspect, unless they are too old; returns whether any death was added.
     * If the suspect is quarantined already, only the time of its last death is updated.
     */
    public synchronized boolean add(Suspect suspect) {
        Duration at = mClock.now().minus(suspect.age());
        if (suspect.age().compareTo(RETENTION) >= 0) {
            return false;
        }
        DeathRecord previous = mRecords.remove(suspect.fingerprint());
        Set<Long> deaths = new LinkedHashSet<>();
        if (previous != null && !isExpired(previous)) {
            deaths.addAll(previous.deaths());
        }
        boolean isNew = deaths.size() < DEATHS_TO_QUARANTINE && deaths.addAll(suspect.deaths());
        Duration last =
                previous == null || previous.last().compareTo(at) < 0 ? at : previous.last();
        mRecords.put(suspect.fingerprint(), new DeathRecord(deaths, last));
        evict();
        return isNew;
    }

    /** Returns whether a request was in flight at a death and therefore must run alone. */
    public synchronized boolean isSuspect(ByteBuffer fingerprint) {
        DeathRecord record = mRecords.get(fingerprint);
        return record != null && !isExpired(record);
    }

    /** Returns the time until a request's quarantine ends; empty if it is not quarantined. */
    public synchronized Optional<Duration> remainingQuarantine(ByteBuffer fingerprint) {
        DeathRecord record = mRecords.get(fingerprint);
        if (record == null || isExpired(record) || record.deaths().size() < DEATHS_TO_QUARANTINE) {
            return Optional.empty();
        }
        return Optional.of(record.last().plus(RETENTION).minus(mClock.now()));
    }

    /** Returns at most {@code max} suspects, the most recently updated first. */
    public synchronized List<Suspect> newest(int max) {
        List<Suspect> suspects = new ArrayList<>();
        mRecords.forEach(
                (fingerprint, record) ->
                        suspects.add(
                                0,
                                new Suspect(
                                        fingerprint,
                                        Set.copyOf(record.deaths()),
                                        mClock.now().minus(record.last()))));
        return List.copyOf(suspects.subList(0, Math.min(max, suspects.size())));
    }

    /** Returns the number of recorded fingerprints. */
    public synchronized int size() {
        return mRecords.size();
    }

    private boolean isExpired(DeathRecord record) {
        return record.last().plus(RETENTION).compareTo(mClock.now()) <= 0;
    }

    private void evict() {
        Iterator<DeathRecord> oldest = mRecords.values().iterator();
        boolean isSurplus = true;
        while (isSurplus && oldest.hasNext()) {
            DeathRecord record = oldest.next();
            isSurplus = mRecords.size() > mMaxRecords || isExpired(record);
            if (isSurplus) {
                oldest.remove();
            }
        }
    }
}
