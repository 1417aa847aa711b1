package org.sequoiahill.daemon.process.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.sequoiahill.protocol.audit.AuditChain;
import org.sequoiahill.protocol.gen.AuditEntry;
import org.sequoiahill.protocol.gen.AuditPage;
import org.sequoiahill.protocol.gen.AuditQuery;
import org.sequoiahill.protocol.gen.Sender;

/** The audit trail, in order of sequence numbers; drops the oldest entries beyond its limits. */
final class AuditTrail {
    /** Maximum number of entries in a page. */
    static final int MAX_PAGE_ENTRIES = 500;

    private static final int ENTRY_OVERHEAD_CHARACTERS = 256;

    private final int mMaxEntries;
    private final long mMaxCharacters;
    private final Deque<AuditEntry> mEntries = new ArrayDeque<>();
    private long mCharacters;
    private long mLastSequence;
    private String mLastHash = AuditChain.FIRST_HASH;

    AuditTrail(int maxEntries, long maxCharacters) {
        mMaxEntries = maxEntries;
        mMaxCharacters = maxCharacters;
    }

    /** Appends an entry, after setting its sequence number and hashes. */
    void add(AuditEntry entry) {
        entry.setSequence(mLastSequence + 1);
        entry.setPreviousHash(mLastHash);
        entry.setHash(AuditChain.hashOf(entry));
        mLastSequence = entry.getSequence();
        mLastHash = entry.getHash();
        append(entry);
    }

    /** Returns the first entries that match a query, up to its limit. */
    AuditPage page(AuditQuery query, Sender sender) {
        int limit = Math.min(Math.max(query.getLimit(), 1), MAX_PAGE_ENTRIES);
        List<AuditEntry> found = new ArrayList<>();
        for (AuditEntry entry : mEntries) {
            if (matches(entry, query)) {
                found.add(entry);
            }
            if (found.size() > limit) {
                break;
            }
        }
        boolean hasMore = found.size() > limit;
        List<AuditEntry> entries = hasMore ? found.subList(0, limit) : found;
        long first = mEntries.isEmpty() ? mLastSequence + 1 : mEntries.getFirst().getSequence();
        return new AuditPage(sender, entries, mLastSequence, mLastHash, first, hasMore);
    }

    List<AuditEntry> entries() {
        return new ArrayList<>(mEntries);
    }

    long lastSequence() {
        return mLastSequence;
    }

    String lastHash() {
        return mLastHash;
    }

    void restore(List<AuditEntry> entries, long lastSequence, String lastHash) {
        mEntries.clear();
        mCharacters = 0;
        entries.forEach(this::append);
        mLastSequence = lastSequence;
        mLastHash = lastHash;
    }

    private void append(AuditEntry entry) {
        mEntries.addLast(entry);
        mCharacters += charactersOf(entry);
        while (mEntries.size() > 1
                && (mEntries.size() > mMaxEntries || mCharacters > mMaxCharacters)) {
            mCharacters -= charactersOf(mEntries.removeFirst());
        }
    }

    private static boolean matches(AuditEntry entry, AuditQuery query) {
        return entry.getSequence() > query.getAfterSequence()
                && entry.getWhenMillis() >= query.getSinceMillis()
                && matchesFilter(query.getDocumentName(), entry.getName())
                && matchesFilter(query.getActor(), entry.getActor());
    }

    private static boolean matchesFilter(String filter, String value) {
        return filter == null || filter.isEmpty() || filter.equals(value);
    }

    private static long charactersOf(AuditEntry entry) {
        long characters = (long) ENTRY_OVERHEAD_CHARACTERS + entry.getMessage().length();
        characters += entry.getChangeId().length() + entry.getActor().length();
        return characters + entry.getDifference().stream().mapToLong(String::length).sum();
    }
}
