package org.sequoiahill.daemon.version.fetch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether this agent sends a chunk or redirects the requester to agents that it has sent
 * the chunk to.
 */
public final class HolderTable {
    private static final int DIRECT_COPIES = 2;
    private static final int MAX_CONCURRENT_SENDS = 16;
    private static final int MAX_REDIRECTS = 3;
    private static final int MAX_CHUNKS = 8_192;
    private static final int MAX_HOLDERS = 16;
    private static final int HOLDERS_PER_REDIRECT = 3;

    private final int mCopiesPerChunk;
    private final int mMaxConcurrentSends;
    private final int mMaxRedirects;
    private final Map<String, ChunkEntry> mEntries =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ChunkEntry> eldest) {
                    return size() > MAX_CHUNKS && eldest.getValue().mSending == 0;
                }
            };
    private int mSending;

    private HolderTable(int copiesPerChunk, int maxConcurrentSends, int maxRedirects) {
        mCopiesPerChunk = copiesPerChunk;
        mMaxConcurrentSends = maxConcurrentSends;
        mMaxRedirects = maxRedirects;
    }

    /**
     * Returns an empty table.
     *
     * @param copiesPerChunk requesters that receive a chunk from this agent before later ones are
     *     redirected
     * @param maxConcurrentSends concurrent sends of chunks
     * @param maxRedirects number of redirects after which a requester is not redirected again
     */
    public static HolderTable of(int copiesPerChunk, int maxConcurrentSends, int maxRedirects) {
        return new HolderTable(copiesPerChunk, maxConcurrentSends, maxRedirects);
    }

    /** Returns an empty table with the limits that a daemon uses. */
    public static HolderTable standard() {
        return of(DIRECT_COPIES, MAX_CONCURRENT_SENDS, MAX_REDIRECTS);
    }

    /** How to respond to a requester. */
    public sealed interface Decision {
        /** Send the chunk; {@link #sendCompleted} or {@link #sendFailed} must follow. */
        record Send() implements Decision {}

        /** Redirect to other holders. */
        record Redirect(List<String> addresses) implements Decision {}

        /** Decide again once a send of the chunk has ended. */
        record WaitForCopy() implements Decision {}

        /** Decide again once any send has ended. */
        record WaitForSlot() implements Decision {}
    }

    /** Decides how to respond to a request for a chunk that is held. */
    public synchronized Decision decide(String digest, String requester, int redirects) {
        ChunkEntry entry = mEntries.computeIfAbsent(digest, key -> new ChunkEntry());
        boolean mustServe = redirects >= mMaxRedirects || requester.isEmpty();
        boolean hasCopiesLeft = entry.mHolders.size() + entry.mSending < mCopiesPerChunk;
        if (mustServe || hasCopiesLeft) {
            return startSend(entry);
        }
        List<String> holders = entry.pickHolders(requester);
        return holders.isEmpty() ? new Decision.WaitForCopy() : new Decision.Redirect(holders);
    }

    private Decision startSend(ChunkEntry entry) {
        if (mSending >= mMaxConcurrentSends) {
            return new Decision.WaitForSlot();
        }
        entry.mSending++;
        mSending++;
        return new Decision.Send();
    }

    /**
     * Records that a chunk was sent completely, so that others can be redirected to the requester.
     */
    public synchronized void sendCompleted(String digest, String requester) {
        ChunkEntry entry = endSend(digest);
        if (!requester.isEmpty() && entry.mHolders.size() < MAX_HOLDERS) {
            entry.mHolders.remove(requester);
            entry.mHolders.add(requester);
        }
    }

    /** Records that a send failed. */
    public synchronized void sendFailed(String digest) {
        endSend(digest);
    }

    private ChunkEntry endSend(String digest) {
        ChunkEntry entry = mEntries.computeIfAbsent(digest, key -> new ChunkEntry());
        entry.mSending = Math.max(0, entry.mSending - 1);
        mSending--;
        return entry;
    }

    private static final class ChunkEntry {
        private final List<String> mHolders = new ArrayList<>();
        private int mSending;
        private int mNext;

        List<String> pickHolders(String requester) {
            List<String> picked = new ArrayList<>();
            for (int i = 0; i < mHolders.size() && picked.size() < HOLDERS_PER_REDIRECT; i++) {
                String holder = mHolders.get((mNext + i) % mHolders.size());
                if (!holder.equals(requester)) {
                    picked.add(holder);
                }
            }
            mNext++;
            return picked;
        }
    }
}
