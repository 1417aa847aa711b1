package org.sequoiahill.daemon.request.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which streams are parked: cancelled at the engine until their readers have drained.
 *
 * @param processBytes bytes that all streams of the process may buffer
 * @param maxStall time that a reader with a full buffer may stand still before it is parked
 */
public record ParkingPolicy(long processBytes, Duration maxStall) {
    /**
     * One stream that is not parked.
     *
     * @param id identity of the request
     * @param buffered bytes that wait for the reader
     * @param isFull whether the stream's own buffer is full, so that the engine is held up
     * @param lastTaken when the reader last took bytes
     */
    public record Reader(String id, long buffered, boolean isFull, Duration lastRead) {}

    /** Returns the streams to park now, the slowest reader first. */
    public List<String> streamsToPark(List<Reader> readers, long bufferedInAll, Duration now) {
        List<Reader> slowestFirst = new ArrayList<>(readers);
        slowestFirst.sort(Comparator.comparing(Reader::lastRead).thenComparing(Reader::id));
        List<String> parked = new ArrayList<>();
        long over = bufferedInAll - processBytes;
        for (Reader reader : slowestFirst) {
            boolean isStalled =
                    reader.isFull() && now.minus(reader.lastRead()).compareTo(maxStall) >= 0;
            boolean isSurplus = over > 0 && reader.buffered() > 0;
            if (isStalled || isSurplus) {
                parked.add(reader.id());
                over -= reader.buffered();
            }
        }
        return List.copyOf(parked);
    }
}
