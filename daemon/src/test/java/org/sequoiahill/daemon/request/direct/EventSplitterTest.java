package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link EventSplitter}. */
final class EventSplitterTest {
    @ParameterizedTest
    @CsvSource({
        // bytes, with | for a newline; complete events; last id; number of events
        "'id: 1|data: a||', 'id: 1|data: a||', 1, 1",
        "'id: 1|data: a||id: 2|da', 'id: 1|data: a||', 1, 1",
        "'id: 1|data: a||id: 2|data: b||', 'id: 1|data: a||id: 2|data: b||', 2, 2",
        "'id: 1|data: a|', '', , 0",
        "'data: a||', 'data: a||', , 1"
    })
    void feed_bytes_returnsCompleteEvents(String bytes, String complete, String lastId, int count) {
        EventSplitter splitter = new EventSplitter();
        assertThat(text(splitter.feed(buffer(lines(bytes)))), is(lines(complete)));
        assertThat(splitter.lastId(), is(Optional.ofNullable(lastId)));
        assertThat(splitter.events(), is(count));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n"})
    void feed_streamSplitAnywhere_losesNothing(String newline) {
        StringBuilder stream = new StringBuilder();
        for (int i = 1; i <= 40; i++) {
            stream.append("id: ").append(i).append(newline);
            stream.append("data: t").append(i).append(newline).append(newline);
        }
        byte[] all = stream.toString().getBytes(StandardCharsets.UTF_8);
        Random random = new Random(3);
        for (int round = 0; round < 200; round++) {
            EventSplitter splitter = new EventSplitter();
            StringBuilder taken = new StringBuilder();
            int offset = 0;
            while (offset < all.length) {
                int length = Math.min(all.length - offset, 1 + random.nextInt(30));
                taken.append(text(splitter.feed(ByteBuffer.wrap(all, offset, length))));
                offset += length;
            }
            taken.append(text(splitter.takePartial()));
            assertThat(taken.toString(), is(stream.toString()));
            assertThat(splitter.events(), is(40));
            assertThat(splitter.lastId(), is(Optional.of("40")));
        }
    }

    private static String lines(String text) {
        return text == null ? "" : text.replace('|', '\n');
    }

    private static ByteBuffer buffer(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }
}
