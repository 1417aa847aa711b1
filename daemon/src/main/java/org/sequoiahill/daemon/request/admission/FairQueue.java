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
 * Deficit round robin over organisations, weighted by their shares, within priority classes. Higher
 * classes go first, except that a class with queued items which was skipped in {@link
 * #STARVATION_BOUND} - 1 turns in a row goes next.
 *
 * <p>Not thread-safe. {@link #offer} keeps the queue within its limits; {@link #requeue} may exceed
 * them.
 *
 * @param <T> type of the queued values
 */
final class FairQueue<T> {
    /**
     * Number of turns in a row of which a class with queued items gets at least one, unless another
     * class is due at the same time. Requeueing the only item of a class restarts the count of its
     * skipped turns.
     */
    static final int STARVATION_BOUND = 16;

    /** Body bytes whose cost equals that of one request. */
    private static final int BYTES_PER_COST_UNIT = 16 << 10;

    private final int mMaxItems;
    private final long mMaxBytesPerOrganisation;
    private final Map<Priority, PriorityClass> mClasses = new EnumMap<>(Priority.class);
    private int mSize;

    /**
     * Creates an empty queue.
     *
     * @param maxItems maximum number of items
     * @param maxBytesPerOrganisation maximum number of bytes per organisation and class
     */
    FairQueue(int maxItems, long maxBytesPerOrganisation) {
        mMaxItems = maxItems;
        mMaxBytesPerOrganisation = maxBytesPerOrganisation;
        for (Priority priority : Priority.values()) {
            mClasses.put(priority, new PriorityClass());
        }
    }

    /**
     * A queued item.
     *
     * @param value queued value
     * @param priority priority class
     * @param organisation name of the organisation that owns the item
     * @param share weight of the organisation
     * @param maxItems maximum number of queued items of the organisation in the class
     * @param bytes size of the request body
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

    /** Result of offering an item. */
    sealed interface Offer<T> {
        /** The item is queued. */
        record Accepted<T>() implements Offer<T> {}

        /**
         * The item is queued in place of one of a lower class.
         *
         * @param value value that was removed from the queue
         */
        record Shed<T>(T value) implements Offer<T> {}

        /** The organisation has reached its limit of items or bytes. */
        record OrganisationFull<T>() implements Offer<T> {}

        /** The queue is full, with no item of a lower class to shed. */
        record QueueFull<T>() implements Offer<T> {}
    }

    /** Adds an item, or returns why it can't be added. */
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

    /** Returns a polled item to the front of its organisation's queue. */
    void requeue(Item<T> item) {
        add(item, true);
    }

    /** Returns the number of queued items. */
    int size() {
        return mSize;
    }

    /**
     * Removes the item whose turn it is. The caller then calls {@link #recordTurn} if the item uses
     * its turn, {@link #requeue} if it must wait for capacity, or neither if it is discarded.
     */
    Optional<Item<T>> poll() {
        PriorityClass next = nextClass();
        if (next == null) {
            return Optional.empty();
        }
        mSize--;
        return Optional.of(next.poll());
    }

    /** Records that an item of a class has used its turn. */
    void recordTurn(Priority priority) {
        PriorityClass served = classOf(priority);
        for (PriorityClass other : mClasses.values()) {
            if (other != served && other.mSize > 0) {
                other.mSkippedTurns++;
            }
        }
        served.mSkippedTurns = 0;
    }

    /** Removes and returns all values that match. */
    List<T> removeIf(Predicate<T> matches) {
        List<T> removed = new ArrayList<>();
        mClasses.values().forEach(c -> c.removeIf(matches, removed));
        mSize -= removed.size();
        return removed;
    }

    /** Returns the number of queued items in higher classes. */
    int aheadInHigherClasses(Priority priority) {
        int ahead = 0;
        for (Priority other : Priority.values()) {
            if (other.compareTo(priority) < 0) {
                ahead += classOf(other).mSize;
            }
        }
        return ahead;
    }

    /**
     * Returns the estimated number of turns of a class before a new item of an organisation has its
     * turn.
     */
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

    private void add(Item<T> item, boolean isAtFront) {
        classOf(item.priority()).add(item, isAtFront);
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

    /** Items of one priority class, with round robin over the organisations. */
    private final class PriorityClass {
        private final Map<String, OrganisationQueue> mOrganisations = new LinkedHashMap<>();
        private final Deque<OrganisationQueue> mRoundRobin = new ArrayDeque<>();
        private int mSize;
        private int mSkippedTurns;

        @Nullable OrganisationQueue find(String organisation) {
            return mOrganisations.get(organisation);
        }

        void add(Item<T> item, boolean isAtFront) {
            OrganisationQueue queue =
                    mOrganisations.computeIfAbsent(
                            item.organisation(),
                            name -> {
                                OrganisationQueue created = new OrganisationQueue(name);
                                mRoundRobin.addLast(created);
                                return created;
                            });
            queue.add(item, isAtFront);
            mSize++;
            if (mSize == 1) {
                mSkippedTurns = 0;
            }
        }

        /** Removes the next item; the class must not be empty. */
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

        /**
         * Removes the newest item of the organisation with the most items in proportion to its
         * share.
         */
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

    /** Items of one organisation in one priority class. */
    private final class OrganisationQueue {
        private final String mName;
        private final Deque<Item<T>> mItems = new ArrayDeque<>();
        private long mShare = 1;
        private long mBytes;
        private double mDeficit;

        OrganisationQueue(String name) {
            mName = name;
        }

        void add(Item<T> item, boolean isAtFront) {
            mShare = item.share();
            mBytes += item.bytes();
            if (isAtFront) {
                mItems.addFirst(item);
                // Refunds the cost that poll() has deducted.
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
