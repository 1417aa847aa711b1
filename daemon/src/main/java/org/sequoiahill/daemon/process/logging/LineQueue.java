package org.sequoiahill.daemon.process.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lines on their way to an output that may be slow.
 *
 * <p>Beyond a bound new lines are dropped and counted, and the count is written as soon as there is
 * room, so that a reader of the log knows what is missing.
 */
final class LineQueue {
    /** Waits of a flush, which gives up on an output that stands still. */
    private static final int FLUSH_WAITS = 10;

    private static final long FLUSH_WAIT_MILLIS = 50;

    private final OutputStream mOutput;
    private final int mMaxLines;
    private final Deque<byte[]> mLines = new ArrayDeque<>();
    private boolean mIsWriting;
    private long mDropped;

    private LineQueue(OutputStream output, int maxLines) {
        mOutput = output;
        mMaxLines = maxLines;
    }

    /** Returns a queue with a thread that writes. */
    static LineQueue to(OutputStream output, int maxLines) {
        LineQueue queue = new LineQueue(output, maxLines);
        Thread thread = new Thread(queue::writeAll, "log-writer");
        thread.setDaemon(true);
        thread.start();
        return queue;
    }

    /** Adds a line, or drops it where too many wait. */
    synchronized void add(byte[] line) {
        if (mLines.size() >= mMaxLines) {
            mDropped++;
            return;
        }
        mLines.addLast(line);
        notifyAll();
    }

    /** Waits until what was added is written, though not for long. */
    synchronized void flush() {
        try {
            for (int i = 0; i < FLUSH_WAITS && (!mLines.isEmpty() || mIsWriting); i++) {
                wait(FLUSH_WAIT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        try {
            while (true) {
                mOutput.write(next());
                mOutput.flush();
                written();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // There is no other place to tell of it: the log itself can't be written.
            System.err.println("the log can't be written any more: " + e);
        }
    }

    private synchronized byte[] next() throws InterruptedException {
        while (mLines.isEmpty()) {
            wait();
        }
        mIsWriting = true;
        byte[] line = mLines.removeFirst();
        if (mDropped > 0) {
            String note =
                    "{\"level\":\"WARN\",\"message\":\"log lines dropped: " + mDropped + "\"}\n";
            mLines.addLast(note.getBytes(StandardCharsets.UTF_8));
            mDropped = 0;
        }
        return line;
    }

    private synchronized void written() {
        mIsWriting = false;
        if (mLines.isEmpty()) {
            notifyAll();
        }
    }
}
