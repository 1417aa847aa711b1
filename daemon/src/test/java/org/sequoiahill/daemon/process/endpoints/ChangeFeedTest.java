package org.sequoiahill.daemon.process.endpoints;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.protocol.gen.FeedItem;

/** Tests of {@link ChangeFeed}: a reader that skips changes always ends up with all items. */
final class ChangeFeedTest {
    private static final int STEPS = 3_000;
    private static final int KEYS = 20;

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 50})
    void since_readerThatSkipsChanges_hasSameItemsAsFeed(int maxTombstones) {
        Random random = new Random(maxTombstones);
        ChangeFeed feed = ChangeFeed.withTombstones(maxTombstones);
        Map<String, Long> written = new HashMap<>();
        Map<String, Long> read = new HashMap<>();
        long change = 0;
        for (int step = 0; step < STEPS; step++) {
            String key = "k" + random.nextInt(KEYS);
            if (random.nextInt(3) == 0) {
                feed.drop(key);
                written.remove(key);
            } else {
                long value = step;
                feed.put(new FeedItem().setKey(key).setEndpoint(Reports.ready(key, value, value)));
                written.put(key, value);
            }
            if (random.nextInt(5) == 0) {
                ChangeFeed.Changes changes = feed.since(change);
                change = changes.change();
                if (changes.isComplete()) {
                    read.clear();
                }
                changes.items().forEach(item -> apply(item, read));
                assertThat("step " + step, read, is(written));
            }
        }
    }

    private static void apply(FeedItem item, Map<String, Long> read) {
        if (item.isDropped()) {
            read.remove(item.getKey());
        } else {
            read.put(item.getKey(), item.getEndpoint().getSequence());
        }
    }
}
