package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.sequoiahill.bench.admission.VirtualTime;

/** Shares links among transfers with max-min fairness. */
final class SharedLinks {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Remaining bits below which a transfer counts as completed. */
    private static final double ROUNDING_BITS = 1e-3;

    private final VirtualTime mTime;
    private final List<Transfer> mTransfers = new ArrayList<>();
    private Duration mSettledAt = Duration.ZERO;
    private boolean mIsAllocationDue;

    /** Number of the latest allocation; completions that an earlier one scheduled are ignored. */
    private long mAllocation;

    SharedLinks(VirtualTime time) {
        mTime = time;
    }

    /** A link in one direction. */
    static final class Link {
        private double mBitsPerSecond;
        private double mUnallocated;
        private int mUnallocatedTransfers;

        Link(double bitsPerSecond) {
            mBitsPerSecond = bitsPerSecond;
        }

        private double fairShare() {
            return mUnallocated / mUnallocatedTransfers;
        }
    }

    /** A transfer of bits over several links. */
    static final class Transfer {
        private final List<Link> mPath;
        private final Runnable mWhenDone;
        private double mBitsRemaining;
        private double mBitsPerSecond;

        private Transfer(List<Link> path, double bits, Runnable whenDone) {
            mPath = path;
            mBitsRemaining = bits;
            mWhenDone = whenDone;
        }
    }

    /** Starts a transfer over all links of a path at the same time. */
    Transfer send(List<Link> path, double bits, Runnable whenDone) {
        Transfer transfer = new Transfer(path, bits, whenDone);
        settle();
        mTransfers.add(transfer);
        scheduleAllocation();
        return transfer;
    }

    /** Cancels a transfer before it completes. */
    void cancel(Transfer transfer) {
        settle();
        mTransfers.remove(transfer);
        scheduleAllocation();
    }

    /** Multiplies the rate of a link by a factor. */
    void scale(Link link, double factor) {
        settle();
        link.mBitsPerSecond *= factor;
        scheduleAllocation();
    }

    /** Subtracts the bits sent since the last call from the remaining bits of each transfer. */
    private void settle() {
        double seconds = mTime.now().minus(mSettledAt).toNanos() / NANOS_PER_SECOND;
        mTransfers.forEach(
                transfer -> transfer.mBitsRemaining -= seconds * transfer.mBitsPerSecond);
        mSettledAt = mTime.now();
    }

    private void scheduleAllocation() {
        if (!mIsAllocationDue) {
            mIsAllocationDue = true;
            mTime.runAfter(Duration.ZERO, this::allocate);
        }
    }

    private void allocate() {
        mIsAllocationDue = false;
        Set<Link> links = new LinkedHashSet<>();
        for (Transfer transfer : mTransfers) {
            for (Link link : transfer.mPath) {
                if (links.add(link)) {
                    link.mUnallocated = link.mBitsPerSecond;
                    link.mUnallocatedTransfers = 0;
                }
                link.mUnallocatedTransfers++;
            }
        }
        List<Transfer> unallocated = new ArrayList<>(mTransfers);
        while (!unallocated.isEmpty()) {
            double smallestShare = Double.POSITIVE_INFINITY;
            for (Link link : links) {
                if (link.mUnallocatedTransfers > 0) {
                    smallestShare = Math.min(smallestShare, link.fairShare());
                }
            }
            allocateBottlenecked(unallocated, smallestShare);
        }
        scheduleNextCompletion();
    }

    /** Assigns the smallest fair share to the transfers on the most contended links. */
    private static void allocateBottlenecked(List<Transfer> unallocated, double share) {
        List<Transfer> bottlenecked = new ArrayList<>();
        for (Transfer transfer : unallocated) {
            for (Link link : transfer.mPath) {
                if (link.fairShare() <= share * (1 + 1e-9)) {
                    bottlenecked.add(transfer);
                    break;
                }
            }
        }
        for (Transfer transfer : bottlenecked) {
            transfer.mBitsPerSecond = share;
            for (Link link : transfer.mPath) {
                link.mUnallocated -= share;
                link.mUnallocatedTransfers--;
            }
        }
        unallocated.removeAll(Set.copyOf(bottlenecked));
    }

    private void scheduleNextCompletion() {
        long allocation = ++mAllocation;
        double seconds = Double.POSITIVE_INFINITY;
        for (Transfer transfer : mTransfers) {
            seconds = Math.min(seconds, transfer.mBitsRemaining / transfer.mBitsPerSecond);
        }
        if (seconds < Double.POSITIVE_INFINITY) {
            long nanos = (long) Math.ceil(Math.max(0, seconds) * NANOS_PER_SECOND);
            mTime.runAfter(Duration.ofNanos(nanos), () -> complete(allocation));
        }
    }

    private void complete(long allocation) {
        if (allocation != mAllocation) {
            return;
        }
        settle();
        List<Transfer> completed =
                mTransfers.stream()
                        .filter(transfer -> transfer.mBitsRemaining <= ROUNDING_BITS)
                        .toList();
        mTransfers.removeAll(completed);
        scheduleAllocation();
        completed.forEach(transfer -> transfer.mWhenDone.run());
    }
}
