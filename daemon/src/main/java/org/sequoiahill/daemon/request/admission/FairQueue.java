package org.sequoiahill.daemon.request.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.protocol.document.ServiceDocument.Priority;

/**
 * Deficit round robin over organisations by share, inside priority classes; higher classes go
 * first, and a lower class gets one turn in at most {@link #STARVATION_BOUND} turns.
 *
 * <p>Not safe for several threads. Bounded by what {@link #offer} refuses.
 *
 * @param <T> what waits
 */
final class FairQueue<T> {
    /** Most turns in a row that pass over a class in which somebody waits. */
    static final int STARVATION_BOUND = 16;

    /** Body bytes that cost as much as one request. */
    private static final int BYTES_PER_COST_UNIT = 16 << 10;

    private final int mMaxItems;
    private final long mMaxBytesPerOrganisation;
    private final Map<Priority, PriorityClass> mClasses = new EnumMap<>(Priority.class);
    private int mSize;

    /**
     * Makes an empty queue.
     *
     * @param maxItems most items in all
     * @param maxBytesPerOrganisation most bytes of one organisation
     */
    FairQueue(int maxItems, long maxBytesPerOrganisation) {
        mMaxItems = maxItems;
        mMaxBytesPerOrganisation = maxBytesPerOrganisation;
        for (Priority priority : Priority.values()) {
            mClasses.put(priority, new PriorityClass());
        }
    }

    /**
     * Something that waits.
     *
     * @param value what waits
     * @param priority class
     * @param organisation whose it is
     * @param share weight of the organisation
     * @param maxItems most items of the organisation
     * @param bytes size
     */
    record Item<T>(
            T value,
            Priority priority,
            String organisation,
            long share,
            long maxItems,
            long bytes) {
        double cost() {
            return 1 + (double) bytes / BYTES_PER_COST_UNIT;
        }
    }

    /** What becomes of an offered item. */
    sealed interface Offer<T> {
        /** It waits. */
        record Accepted<T>() implements Offer<T> {}

        /** It waits, and another of a lower class had to go. */
        record Shed<T>(T value) implements Offer<T> {}

        /** Its organisation has as much waiting as it may. */
        record OrganisationFull<T>() implements Offer<T> {}

        /** The queue is full of items of its class or higher. */
        record QueueFull<T>() implements Offer<T> {}
    }

    /** Adds an item, or says why not. */
    Offer<T> offer(Item<T> item) {
        OrganisationQueue own = classOf(item.priority()).find(item.organisation());
        if (own != null
                && (own.mItems.size() >= item.maxItems()
                        || own.mBytes + item.bytes() > mMaxBytesPerOrganisation)) {
            return new Offer.OrganisationFull<>();
        }
        if (mSize < mMaxItems) {
            add(item, false);
            return new Offer.Accepted<>();
        }
        Optional<T> shed = shedFromLowerClass(item.priority());
        if (shed.isEmpty()) {
            return new Offer.QueueFull<>();
        }
        add(item, false);
        return new Offer.Shed<>(shed.get());
    }

    /** Puts an item that had its turn back to the front of its organisation. */
    void requeue(Item<T> item) {
        add(item, true);
    }

    /** Returns the items that wait. */
    int size() {
        return mSize;
    }

    /** Takes the item whose turn it is; {@link #recordTurn} or {@link #requeue} must follow. */
    Optional<Item<T>> poll() {
        PriorityClass next = nextClass();
        if (next == null) {
            return Optional.empty();
        }
        mSize--;
        return Optional.of(next.poll());
    }

    /** Notes that an item of a class has had its turn. */
    void recordTurn(Priority priority) {
        PriorityClass served = classOf(priority);
        for (PriorityClass other : mClasses.values()) {
            if (other != served && other.mSize > 0) {
                other.mSkippedTurns++;
            }
        }
        served.mSkippedTurns = 0;
    }

    /** Takes out all items that match. */
    List<T> removeIf(Predicate<T> matches) {
        List<T> removed = new ArrayList<>();
        mClasses.values().forEach(c -> c.removeIf(matches, removed));
        mSize -= removed.size();
        return removed;
    }

    /** Returns the items of higher classes that wait. */
    int aheadInHigherClasses(Priority priority) {
        int ahead = 0;
        for (Priority other : Priority.values()) {
            if (other.compareTo(priority) < 0) {
                ahead += classOf(other).mSize;
            }
        }
        return ahead;
    }

    /** Returns the turns of its own class until a new item of an organisation has its turn. */
    int aheadInClass(Priority priority, String organisation, long share) {
        PriorityClass own = classOf(priority);
        OrganisationQueue queue = own.find(organisation);
        int items = queue == null ? 0 : queue.mItems.size();
        long shares = queue == null ? share : 0;
        for (OrganisationQueue other : own.mOrganisations.values()) {
            shares += other.mShare;
        }
        double turns = (items + 1.0) * shares / share - 1;
        return (int) Math.min(own.mSize, Math.ceil(turns));
    }

    private void add(Item<T> item, boolean isFirst) {
        classOf(item.priority()).add(item, isFirst);
        mSize++;
    }

    private Optional<T> shedFromLowerClass(Priority priority) {
        Optional<PriorityClass> lowest = Optional.empty();
        for (Map.Entry<Priority, PriorityClass> entry : mClasses.entrySet()) {
            if (entry.getKey().compareTo(priority) > 0 && entry.getValue().mSize > 0) {
                lowest = Optional.of(entry.getValue());
            }
        }
        if (lowest.isPresent()) {
            mSize--;
        }
        return lowest.map(PriorityClass::shed);
    }

    private @Nullable PriorityClass nextClass() {
        PriorityClass first = null;
        for (PriorityClass candidate : mClasses.values()) {
            if (candidate.mSize == 0) {
                continue;
            }
            if (candidate.mSkippedTurns >= STARVATION_BOUND - 1) {
                return candidate;
            }
            if (first == null) {
                first = candidate;
            }
        }
        return first;
    }

    private PriorityClass classOf(Priority priority) {
        PriorityClass found = mClasses.get(priority);
        if (found == null) {
            throw new IllegalStateException("every priority has a class");
        }
        return found;
    }

    /** Items of one priority; organisations take turns. */
    private final class PriorityClass {
        private final Map<String, OrganisationQueue> mOrganisations = new LinkedHashMap<>();
        private final Deque<OrganisationQueue> mRoundRobin = new ArrayDeque<>();
        private int mSize;
        private int mSkippedTurns;

        @Nullable OrganisationQueue find(String organisation) {
            return mOrganisations.get(organisation);
        }

        void add(Item<T> item, boolean isFirst) {
            OrganisationQueue queue =
                    mOrganisations.computeIfAbsent(
                            item.organisation(),
                            name -> {
                                OrganisationQueue made = new OrganisationQueue(name);
                                mRoundRobin.addLast(made);
                                return made;
                            });
            queue.add(item, isFirst);
            mSize++;
            if (mSize == 1) {
                mSkippedTurns = 0;
            }
        }

        /** Takes the next item; the class must have one. */
        Item<T> poll() {
            while (true) {
                OrganisationQueue queue = mRoundRobin.getFirst();
                if (queue.canAfford()) {
                    Item<T> item = queue.poll();
                    mSize--;
                    removeIfEmpty(queue);
                    return item;
                }
                queue.mDeficit += queue.mShare;
                mRoundRobin.addLast(mRoundRobin.removeFirst());
            }
        }

        /** Takes the newest item of the organisation that has most waiting for its share. */
        T shed() {
            OrganisationQueue longest = mRoundRobin.getFirst();
            for (OrganisationQueue queue : mRoundRobin) {
                if (queue.mItems.size() * longest.mShare > longest.mItems.size() * queue.mShare) {
                    longest = queue;
                }
            }
            mSize--;
            Item<T> item = longest.mItems.removeLast();
            longest.mBytes -= item.bytes();
            removeIfEmpty(longest);
            return item.value();
        }

        void removeIf(Predicate<T> matches, List<T> removed) {
            for (OrganisationQueue queue : List.copyOf(mRoundRobin)) {
                int before = removed.size();
                queue.removeIf(matches, removed);
                mSize -= removed.size() - before;
                removeIfEmpty(queue);
            }
        }

        private void removeIfEmpty(OrganisationQueue queue) {
            if (queue.mItems.isEmpty()) {
                mRoundRobin.remove(queue);
                mOrganisations.remove(queue.mName);
            }
        }
    }

    /** Items of one organisation in one class. */
    private final class OrganisationQueue {
        private final String mName;
        private final Deque<Item<T>> mItems = new ArrayDeque<>();
        private long mShare = 1;
        private long mBytes;
        private double mDeficit;

        OrganisationQueue(String name) {
            mName = name;
        }

        void add(Item<T> item, boolean isFirst) {
            mShare = item.share();
            mBytes += item.bytes();
            if (isFirst) {
                mItems.addFirst(item);
                mDeficit += item.cost();
            } else {
                mItems.addLast(item);
            }
        }

        boolean canAfford() {
            return mDeficit >= mItems.getFirst().cost();
        }

        Item<T> poll() {
            Item<T> item = mItems.removeFirst();
            mDeficit -= item.cost();
            mBytes -= item.bytes();
            return item;
        }

        void removeIf(Predicate<T> matches, List<T> removed) {
            for (Iterator<Item<T>> i = mItems.iterator(); i.hasNext(); ) {
                Item<T> item = i.next();
                if (matches.test(item.value())) {
                    i.remove();
                    mBytes -= item.bytes();
                    removed.add(item.value());
                }
            }
        }
    }
}
