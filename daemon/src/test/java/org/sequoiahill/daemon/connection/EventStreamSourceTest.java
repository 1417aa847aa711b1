package org.sequoiahill.daemon.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ChunksContentSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link EventStreamSource}. */
final class EventStreamSourceTest {
    @ParameterizedTest
    @CsvSource({
        // body, whether it has an explicit end; whether it is truncated
        "'data: a\n\n', true, false",
        "'data: a\n\n', false, false",
        "'data: a\r\n\r\n', false, false",
        "'data: a\r\r', false, false",
        "'data: a\n\n\n', false, false",
        "'data: a\n\n: end\n', false, false",
        "'data: a\n\n: end', true, false",
        "'data: a\n\n: end', false, true",
        "'', true, false",
        "'', false, true",
        "': end\n\n', true, false",
        "': end\n\n', false, true",
        "'data: a\n', true, true",
        "'data: a\r\n', true, true",
        "'data: a\r\n\r', true, false",
        "'data: a', true, true",
        "'data: a\n\nd', true, true",
        "'data: a\n\nid: 2\n: comment\n', true, true",
        "': comment\ndata: a', true, true",
        "'data: a\n: comment\n\n', false, false"
    })
    void read_streamIsTruncated_failsAfterItsLastByte(
            String body, boolean hasExplicitEnd, boolean isTruncated) {
        for (int chunkBytes : new int[] {1, 2, 3, 1_000}) {
            EventStreamSource source =
                    EventStreamSource.of(chunks(body, chunkBytes), hasExplicitEnd);
            StringBuilder read = new StringBuilder();
            Content.Chunk chunk = source.read();
            while (!Content.Chunk.isFailure(chunk) && !chunk.isLast()) {
                read.append(StandardCharsets.UTF_8.decode(chunk.getByteBuffer()));
                chunk.release();
                chunk = source.read();
            }
            assertThat(Content.Chunk.isFailure(chunk), is(isTruncated));
            if (isTruncated) {
                assertThat(chunk.getFailure(), instanceOf(TruncatedStreamException.class));
                assertThat(Content.Chunk.isFailure(source.read(), true), is(true));
                AtomicInteger calls = new AtomicInteger();
                source.demand(calls::incrementAndGet);
                assertThat(calls.get(), is(1));
            } else {
                read.append(StandardCharsets.UTF_8.decode(chunk.getByteBuffer()));
            }
            assertThat(read.toString(), is(body));
        }
    }

    @ParameterizedTest
    @CsvSource({
        // content type; whether it is that of event streams
        "text/event-stream, true",
        "Text/Event-Stream; charset=utf-8, true",
        "text/plain, false",
        ", false"
    })
    void isEventStream_contentType_isRecognized(String contentType, boolean isEventStream) {
        assertThat(EventStreamSource.isEventStream(contentType), is(isEventStream));
    }

    private static Content.Source chunks(String body, int chunkBytes) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Content.Chunk[] chunks =
                new Content.Chunk[(Math.max(1, bytes.length) + chunkBytes - 1) / chunkBytes];
        for (int i = 0; i < chunks.length; i++) {
            int start = i * chunkBytes;
            int length = Math.min(chunkBytes, bytes.length - start);
            chunks[i] =
                    Content.Chunk.from(
                            ByteBuffer.wrap(bytes, start, length), i == chunks.length - 1);
        }
        return new ChunksContentSource(List.of(chunks));
    }
}
