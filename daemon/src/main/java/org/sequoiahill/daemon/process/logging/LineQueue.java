package org.sequoiahill.daemon.process.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounded queue of log lines in front of an output that may be slow.
 *
 * <p>When the queue is full, new lines are dropped and counted. The count is logged as soon as
 * there is room, so that readers of the log know how many lines are missing.
 */
final class LineQueue {
    /** Number of waits after which a flush gives up on a blocked output. */
    private static final int MAX_FLUSH_WAITS = 10;

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

    /** Returns a queue and starts the thread that writes its lines. */
    static LineQueue to(OutputStream output, int maxLines) {
        LineQueue queue = new LineQueue(output, maxLines);
        Thread thread = new Thread(queue::writeAll, "log-writer");
        thread.setDaemon(true);
        thread.start();
        return queue;
    }

    /** Adds a line, or drops it if the queue is full. */
    synchronized void add(byte[] line) {
        if (mLines.size() >= mMaxLines) {
            mDropped++;
            return;
        }
        mLines.addLast(line);
        notifyAll();
    }

    /** Waits until all added lines are written, for at most half a second. */
    synchronized void flush() {
        try {
            for (int i = 0; i < MAX_FLUSH_WAITS && (!mLines.isEmpty() || mIsWriting); i++) {
                wait(FLUSH_WAIT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        try {
            while (true) {
                mOutput.write(takeLine());
                mOutput.flush();
                lineWritten();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Standard error is the only place left to report that the log can't be written.
            System.err.println("log output failed; logging stops: " + e);
        }
    }

    private synchronized byte[] takeLine() throws InterruptedException {
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

    private synchronized void lineWritten() {
        mIsWriting = false;
        if (mLines.isEmpty()) {
            notifyAll();
        }
    }
}
