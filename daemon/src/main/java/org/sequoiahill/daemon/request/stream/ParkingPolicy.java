package org.sequoiahill.daemon.request.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which streams are parked: their requests to the endpoint are cancelled, and they are
 * resumed once the caller has drained the buffer.
 *
 * @param processBytes bytes buffered by all streams of the process above which the streams of the
 *     slowest readers are parked
 * @param maxStall time without progress after which the stream of a reader with a full buffer is
 *     parked
 */
public record ParkingPolicy(long processBytes, Duration maxStall) {
    /**
     * The caller's side of one stream that is not parked.
     *
     * @param id request id of the attempt whose response began the stream
     * @param buffered bytes in the stream's buffer
     * @param isFull whether the buffer is full, so that backpressure stops the engine
     * @param lastRead monotonic time at which the reader last received bytes
     */
    public record Reader(String id, long buffered, boolean isFull, Duration lastRead) {}

    /** Returns the ids of the streams to park now, those of the slowest readers first. */
    public List<String> streamsToPark(List<Reader> readers, long totalBuffered, Duration now) {
        List<Reader> slowestFirst = new ArrayList<>(readers);
        slowestFirst.sort(Comparator.comparing(Reader::lastRead).thenComparing(Reader::id));
        List<String> parked = new ArrayList<>();
        long surplus = totalBuffered - processBytes;
        for (Reader reader : slowestFirst) {
            boolean isStalled =
                    reader.isFull() && now.minus(reader.lastRead()).compareTo(maxStall) >= 0;
            boolean isSurplus = surplus > 0 && reader.buffered() > 0;
            if (isStalled || isSurplus) {
                parked.add(reader.id());
                surplus -= reader.buffered();
            }
        }
        return List.copyOf(parked);
    }
}
