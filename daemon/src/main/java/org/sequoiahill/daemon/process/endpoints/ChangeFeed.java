package org.sequoiahill.daemon.process.endpoints;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.protocol.gen.FeedItem;

/**
 * Items by key, with a number for each change, so that a reader receives only what changed since
 * its last read.
 *
 * <p>Dropped keys are kept as tombstones, up to a limit; a reader that last read before an evicted
 * tombstone receives the complete feed. Not thread-safe.
 */
final class ChangeFeed {
    private final int mMaxTombstones;
    private final LinkedHashMap<String, NumberedItem> mItems = new LinkedHashMap<>();
    private int mTombstones;
    private long mChange = 1;
    private long mEvictedUpTo;

    private ChangeFeed(int maxTombstones) {
        mMaxTombstones = maxTombstones;
    }

    /** Returns an empty feed that keeps up to a number of tombstones. */
    static ChangeFeed withTombstones(int maxTombstones) {
        return new ChangeFeed(maxTombstones);
    }

    private record NumberedItem(long change, FeedItem item) {}

    /**
     * What a reader receives.
     *
     * @param change number of the last change in the feed
     * @param isComplete whether the items are the complete content of the feed, without tombstones
     * @param items the complete content, or the items that changed, including tombstones
     */
    record Changes(long change, boolean isComplete, List<FeedItem> items) {}

    /** Adds an item, or replaces the one with its key. */
    void put(FeedItem item) {
        NumberedItem before = mItems.remove(item.getKey());
        if (before != null && before.item().isDropped()) {
            mTombstones--;
        }
        mItems.put(item.getKey(), new NumberedItem(++mChange, item));
        if (item.isDropped()) {
            mTombstones++;
            evictOldTombstones();
        }
    }

    /** Drops a key, if present, and leaves a tombstone so that readers are notified of it. */
    void drop(String key) {
        NumberedItem before = mItems.get(key);
        if (before != null && !before.item().isDropped()) {
            put(new FeedItem().setKey(key).setDropped(true));
        }
    }

    /** Returns the number of the last change. */
    long lastChange() {
        return mChange;
    }

    /**
     * Returns what changed after a change number; the complete content for 0, for a number before
     * an evicted tombstone, and for one that this feed has not reached.
     */
    Changes since(long change) {
        boolean isComplete = change == 0 || change < mEvictedUpTo || change > mChange;
        List<FeedItem> items = new ArrayList<>();
        for (NumberedItem numberedItem : mItems.values()) {
            boolean isIncluded =
                    isComplete ? !numberedItem.item().isDropped() : numberedItem.change() > change;
            if (isIncluded) {
                items.add(numberedItem.item());
            }
        }
        return new Changes(mChange, isComplete, items);
    }

    private void evictOldTombstones() {
        while (mTombstones > mMaxTombstones) {
            Map.Entry<String, NumberedItem> oldest =
                    mItems.entrySet().stream()
                            .filter(entry -> entry.getValue().item().isDropped())
                            .findFirst()
                            .orElseThrow();
            mEvictedUpTo = oldest.getValue().change();
            mItems.remove(oldest.getKey());
            mTombstones--;
        }
    }
}
