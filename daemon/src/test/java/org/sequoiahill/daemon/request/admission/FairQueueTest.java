package org.sequoiahill.daemon.request.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.document.ServiceDocument.Priority;

final class FairQueueTest {
    private static final int MAX_ITEMS = 8;
    private static final long MAX_BYTES = 64 << 10;

    /**
     * Items are written as count*priority.organisation.share, such as 2*h.a.1. The result is the
     * organisation of each turn, in upper case for high and followed by a dot for low priority.
     */
    @ParameterizedTest
    @CsvSource({
        "in order of arrival, 3*n.a.1, aaa",
        "organisations take turns, 3*n.a.1 3*n.b.1, ababab",
        "a later organisation does not wait for all others, 4*n.a.1 1*n.b.1, abaaa",
        "by share, 4*n.a.1 4*n.b.3, abbbabaa",
        "high before normal before low, 1*l.a.1 1*n.a.1 1*h.a.1, Aaa.",
        "fair inside each class, 2*h.a.1 1*h.b.1 2*n.c.1, ABAcc",
    })
    void poll_items_takesFairTurns(String what, String items, String expected) {
        FairQueue<String> queue = new FairQueue<>(MAX_ITEMS, MAX_BYTES);
        offerAll(queue, items, 100, 0);
        assertThat(what, drain(queue), is(expected));
    }

    /**
     * The expected text is the result of offering the last item, with the shed organisation if any.
     */
    @ParameterizedTest
    @CsvSource({
        "capacity, 7*n.a.1 1*n.a.1, 100, 1, Accepted",
        "all full, 8*n.a.1 1*n.b.1, 100, 1, QueueFull",
        "higher sheds lower, 4*n.a.1 4*l.b.1 1*h.c.1, 100, 1, Shed b",
        "higher sheds lowest first, 4*l.b.1 4*n.a.1 1*h.c.1, 100, 1, Shed b",
        "sheds the longest in proportion to its share, 3*l.a.1 5*l.b.4 1*n.c.1, 100, 1, Shed a",
        "high is not shed for high, 8*h.a.1 1*h.b.1, 100, 1, QueueFull",
        "low has nothing to shed, 8*h.a.1 1*l.b.1, 100, 1, QueueFull",
        "organisation full in count, 3*n.a.1 1*n.a.1, 3, 1, OrganisationFull",
        "another organisation is not full, 3*n.a.1 1*n.b.1, 3, 1, Accepted",
        "organisation full in bytes, 2*n.a.1 1*n.a.1, 100, 30000, OrganisationFull",
    })
    void offer_limitReached_isRefusedOrSheds(
            String what, String items, long maxItems, long bytes, String expected) {
        FairQueue<String> queue = new FairQueue<>(MAX_ITEMS, MAX_BYTES);
        String result = offerAll(queue, items, maxItems, bytes);
        assertThat(what, result, is(expected));
    }

    @Test
    void poll_endlessHighPriority_lowerClassesGetTheirTurn() {
        FairQueue<String> queue = new FairQueue<>(MAX_ITEMS, MAX_BYTES);
        offerAll(queue, "1*n.b.1 1*l.c.1 1*h.a.1", 100, 1);
        StringBuilder turns = new StringBuilder();
        for (int i = 0; i < 3 * FairQueue.STARVATION_BOUND; i++) {
            turns.append(take(queue));
            offerAll(queue, "1*h.a.1", 100, 1);
        }
        assertThat(turns.indexOf("b"), lessThan(FairQueue.STARVATION_BOUND));
        assertThat(turns.indexOf("c."), lessThan(FairQueue.STARVATION_BOUND + 1));
    }

    @Test
    void requeue_noCapacity_isNextAndCostsNoTurn() {
        FairQueue<String> queue = new FairQueue<>(MAX_ITEMS, MAX_BYTES);
        offerAll(queue, "2*n.a.1 2*n.b.1", 100, 1);
        for (int i = 0; i < 100; i++) {
            queue.requeue(queue.poll().orElseThrow());
        }
        assertThat(drain(queue).chars().filter(c -> c == 'a').count(), is(2L));
    }

    @Test
    void removeIf_someMatch_othersStay() {
        FairQueue<String> queue = new FairQueue<>(MAX_ITEMS, MAX_BYTES);
        offerAll(queue, "2*n.a.1 2*h.b.1 1*n.c.1", 100, 1);
        assertThat(queue.removeIf(value -> value.equals("a")).size(), is(2));
        assertThat(queue.size(), is(3));
        assertThat(drain(queue), is("BBc"));
    }

    private static String offerAll(
            FairQueue<String> queue, String items, long maxItems, long bytes) {
        String result = "";
        for (String text : items.split(" ")) {
            String[] parts = text.split("[*.]");
            for (int i = 0; i < Integer.parseInt(parts[0]); i++) {
                result = describe(queue.offer(item(parts, maxItems, bytes)));
            }
        }
        return result;
    }

    private static FairQueue.Item<String> item(String[] parts, long maxItems, long bytes) {
        Priority priority =
                switch (parts[1]) {
                    case "h" -> Priority.HIGH;
                    case "n" -> Priority.NORMAL;
                    default -> Priority.LOW;
                };
        return new FairQueue.Item<>(
                parts[2], priority, parts[2], Long.parseLong(parts[3]), maxItems, bytes);
    }

    private static String describe(FairQueue.Offer<String> offer) {
        String name = offer.getClass().getSimpleName();
        return offer instanceof FairQueue.Offer.Shed<String> shed
                ? name + " " + shed.value()
                : name;
    }

    private static String drain(FairQueue<String> queue) {
        StringBuilder turns = new StringBuilder();
        while (queue.size() > 0) {
            turns.append(take(queue));
        }
        return turns.toString();
    }

    private static String take(FairQueue<String> queue) {
        Optional<FairQueue.Item<String>> item = queue.poll();
        queue.recordTurn(item.orElseThrow().priority());
        String value = item.get().value();
        return switch (item.get().priority()) {
            case HIGH -> value.toUpperCase(java.util.Locale.ROOT);
            case NORMAL -> value;
            case LOW -> value + ".";
        };
    }
}
