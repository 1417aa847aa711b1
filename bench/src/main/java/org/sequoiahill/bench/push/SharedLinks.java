package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.sequoiahill.bench.admission.VirtualTime;

/** Links that transfers share fairly: none could go faster without slowing a slower one. */
final class SharedLinks {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Bits below which a transfer counts as ended. */
    private static final double ROUNDING_BITS = 1e-3;

    private final VirtualTime mTime;
    private final List<Transfer> mTransfers = new ArrayList<>();
    private Duration mSettledAt = Duration.ZERO;
    private boolean mIsAllocationDue;
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

    /** Bits on their way over some links. */
    static final class Transfer {
        private final List<Link> mPath;
        private final Runnable mWhenDone;
        private double mBitsLeft;
        private double mBitsPerSecond;

        private Transfer(List<Link> path, double bits, Runnable whenDone) {
            mPath = path;
            mBitsLeft = bits;
            mWhenDone = whenDone;
        }
    }

    /** Sends bits over all links of a path at once. */
    Transfer send(List<Link> path, double bits, Runnable whenDone) {
        Transfer transfer = new Transfer(path, bits, whenDone);
        settle();
        mTransfers.add(transfer);
        scheduleAllocation();
        return transfer;
    }

    /** Ends a transfer before its last bit. */
    void cancel(Transfer transfer) {
        settle();
        mTransfers.remove(transfer);
        scheduleAllocation();
    }

    /** Changes what a link carries by a factor. */
    void scale(Link link, double factor) {
        settle();
        link.mBitsPerSecond *= factor;
        scheduleAllocation();
    }

    private void settle() {
        double seconds = mTime.now().minus(mSettledAt).toNanos() / NANOS_PER_SECOND;
        mTransfers.forEach(transfer -> transfer.mBitsLeft -= seconds * transfer.mBitsPerSecond);
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
        List<Transfer> open = new ArrayList<>(mTransfers);
        while (!open.isEmpty()) {
            double least = Double.POSITIVE_INFINITY;
            for (Link link : links) {
                if (link.mUnallocatedTransfers > 0) {
                    least = Math.min(least, link.fairShare());
                }
            }
            fill(open, least);
        }
        awaitNextEnd();
    }

    /** Gives the transfers on the fullest links their part. */
    private static void fill(List<Transfer> open, double part) {
        List<Transfer> filled = new ArrayList<>();
        for (Transfer transfer : open) {
            for (Link link : transfer.mPath) {
                if (link.fairShare() <= part * (1 + 1e-9)) {
                    filled.add(transfer);
                    break;
                }
            }
        }
        for (Transfer transfer : filled) {
            transfer.mBitsPerSecond = part;
            for (Link link : transfer.mPath) {
                link.mUnallocated -= part;
                link.mUnallocatedTransfers--;
            }
        }
        open.removeAll(Set.copyOf(filled));
    }

    private void awaitNextEnd() {
        long round = ++mAllocation;
        double seconds = Double.POSITIVE_INFINITY;
        for (Transfer transfer : mTransfers) {
            seconds = Math.min(seconds, transfer.mBitsLeft / transfer.mBitsPerSecond);
        }
        if (seconds < Double.POSITIVE_INFINITY) {
            long nanos = (long) Math.ceil(Math.max(0, seconds) * NANOS_PER_SECOND);
            mTime.runAfter(Duration.ofNanos(nanos), () -> end(round));
        }
    }

    private void end(long round) {
        if (round != mAllocation) {
            return;
        }
        settle();
        List<Transfer> ended =
                mTransfers.stream().filter(each -> each.mBitsLeft <= ROUNDING_BITS).toList();
        mTransfers.removeAll(ended);
        scheduleAllocation();
        ended.forEach(each -> each.mWhenDone.run());
    }
}
