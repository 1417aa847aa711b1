package org.sequoiahill.daemon.process.endpoints;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.protocol.gen.FeedItem;

/**
 * Items by key with a number for each change, so that a reader gets what changed since it last
 * read.
 *
 * <p>Dropped keys stay as markers up to a bound; a reader from before the oldest marker that is
 * gone gets the whole feed. Not safe for several threads.
 */
final class ChangeFeed {
    private final int mMaxMarkers;
    private final LinkedHashMap<String, Numbered> mItems = new LinkedHashMap<>();
    private int mMarkers;
    private long mChange = 1;
    private long mForgottenUpTo;

    private ChangeFeed(int maxMarkers) {
        mMaxMarkers = maxMarkers;
    }

    /** Returns an empty feed that remembers a number of dropped keys. */
    static ChangeFeed remembering(int maxMarkers) {
        return new ChangeFeed(maxMarkers);
    }

    private record Numbered(long change, FeedItem item) {}

    /**
     * What a reader gets.
     *
     * @param change number of the last change
     * @param isWhole whether the items are all that the feed holds
     * @param items items that changed, dropped ones among them
     */
    record Changes(long change, boolean isWhole, List<FeedItem> items) {}

    /** Puts an item in place of the one with its key. */
    void put(FeedItem item) {
        Numbered before = mItems.remove(item.getKey());
        if (before != null && before.item().isDropped()) {
            mMarkers--;
        }
        mItems.put(item.getKey(), new Numbered(++mChange, item));
        if (item.isDropped()) {
            mMarkers++;
            forgetOldMarkers();
        }
    }

    /** Drops a key; readers are told. */
    void drop(String key) {
        Numbered before = mItems.get(key);
        if (before != null && !before.item().isDropped()) {
            put(new FeedItem().setKey(key).setDropped(true));
        }
    }

    /** Returns the number of the last change. */
    long change() {
        return mChange;
    }

    /** Returns what changed after a number, 0 for all. */
    Changes since(long change) {
        boolean isWhole = change == 0 || change < mForgottenUpTo || change > mChange;
        List<FeedItem> items = new ArrayList<>();
        for (Numbered numbered : mItems.values()) {
            boolean isNews = isWhole ? !numbered.item().isDropped() : numbered.change() > change;
            if (isNews) {
                items.add(numbered.item());
            }
        }
        return new Changes(mChange, isWhole, items);
    }

    private void forgetOldMarkers() {
        while (mMarkers > mMaxMarkers) {
            Map.Entry<String, Numbered> oldest =
                    mItems.entrySet().stream()
                            .filter(entry -> entry.getValue().item().isDropped())
                            .findFirst()
                            .orElseThrow();
            mForgottenUpTo = oldest.getValue().change();
            mItems.remove(oldest.getKey());
            mMarkers--;
        }
    }
}
