package org.sequoiahill.daemon.process.claims;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.sequoiahill.protocol.gen.ClaimKey;
import org.sequoiahill.protocol.gen.ExpiredKeys;

/**
 * Keys whose outcome is no longer kept, as 8-byte hashes by day of expiry.
 *
 * <p>If two keys have the same hash, a call with the newer key is refused without having run, but
 * no call ever runs twice.
 */
final class ExpiredClaims {
    private final TreeMap<Long, LongSet> mByDay = new TreeMap<>();

    /** Returns the number of keys. */
    int size() {
        return mByDay.values().stream().mapToInt(LongSet::size).sum();
    }

    void add(ClaimKey key, long nowMillis) {
        mByDay.computeIfAbsent(dayOf(nowMillis), day -> new LongSet()).add(hashOf(key));
    }

    boolean contains(ClaimKey key) {
        long hash = hashOf(key);
        return mByDay.values().stream().anyMatch(set -> set.contains(hash));
    }

    /** Evicts the days that ended longer ago than the retention. */
    void evict(long nowMillis, Duration retention) {
        mByDay.headMap(dayOf(nowMillis - retention.toMillis())).clear();
    }

    List<ExpiredKeys> records() {
        List<ExpiredKeys> records = new ArrayList<>();
        mByDay.forEach((day, set) -> records.add(new ExpiredKeys(day, set.sorted())));
        return records;
    }

    void restore(List<ExpiredKeys> records) {
        mByDay.clear();
        for (ExpiredKeys record : records) {
            LongSet set = new LongSet();
            record.getHashes().forEach(set::add);
            mByDay.put(record.getDay(), set);
        }
    }

    private static long dayOf(long millis) {
        return Math.floorDiv(millis, Duration.ofDays(1).toMillis());
    }

    private static long hashOf(ClaimKey key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            update(sha, key.getOrganisation());
            update(sha, key.getServiceName());
            update(sha, key.getRoute());
            update(sha, key.getIdempotencyKey());
            long hash = ByteBuffer.wrap(sha.digest()).getLong();
            return hash == LongSet.EMPTY ? 1 : hash;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private static void update(MessageDigest sha, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        sha.update(bytes);
    }

    /** A hash set of non-zero numbers with open addressing. */
    private static final class LongSet {
        static final long EMPTY = 0;
        private static final int FIRST_CAPACITY = 64;

        private long[] mSlots = new long[FIRST_CAPACITY];
        private int mSize;

        int size() {
            return mSize;
        }

        boolean contains(long value) {
            return mSlots[slotOf(value)] == value;
        }

        void add(long value) {
            int slot = slotOf(value);
            if (mSlots[slot] == value) {
                return;
            }
            mSlots[slot] = value;
            mSize++;
            if (mSize > mSlots.length / 4 * 3) {
                grow();
            }
        }

        List<Long> sorted() {
            return Arrays.stream(mSlots).filter(value -> value != EMPTY).sorted().boxed().toList();
        }

        private void grow() {
            long[] old = mSlots;
            mSlots = new long[old.length * 2];
            for (long value : old) {
                if (value != EMPTY) {
                    mSlots[slotOf(value)] = value;
                }
            }
        }

        private int slotOf(long value) {
            int mask = mSlots.length - 1;
            int slot = (int) value & mask;
            while (mSlots[slot] != EMPTY && mSlots[slot] != value) {
                slot = (slot + 1) & mask;
            }
            return slot;
        }
    }
}
