package org.sequoiahill.daemon.request.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class EventStreamSplitterTest {
    @ParameterizedTest(name = "[{index}] {0}")
    @CsvSource({
        // stream, number of tokens, whether it is done, incomplete event; "|" is a line feed, "~" a
        // carriage return
        "'', 0, false, ''",
        "'data: a|', 0, false, 'data: a|'",
        "'data: a||', 1, false, ''",
        "'data: a||data: b||', 2, false, ''",
        "'data: a||data: b', 1, false, 'data: b'",
        "': comment||data: a||', 1, false, ''",
        "'event: x|data: a||', 1, false, ''",
        "'data: a||data: [DONE]||', 1, true, ''",
        "'data:[DONE]||', 0, true, ''",
        "'data: a~|~|data: b', 1, false, 'data: b'",
    })
    void append_bytesSplitAnywhere_returnsCompleteEvents(
            String stream, long tokens, boolean isDone, String incomplete) {
        byte[] bytes = bytesOf(stream);
        for (int split = 0; split <= bytes.length; split++) {
            EventStreamSplitter splitter = EventStreamSplitter.atStart();
            int complete = 0;
            complete +=
                    splitter.append(ByteBuffer.wrap(bytes, 0, split))
                            .map(ByteBuffer::remaining)
                            .orElse(0);
            complete +=
                    splitter.append(ByteBuffer.wrap(bytes, split, bytes.length - split))
                            .map(ByteBuffer::remaining)
                            .orElse(0);

            assertThat(splitter.tokens(), equalTo(tokens));
            assertThat(splitter.isDone(), equalTo(isDone));
            assertThat(splitter.incomplete(), equalTo(ByteBuffer.wrap(bytesOf(incomplete))));
            assertThat(complete, equalTo(bytes.length - bytesOf(incomplete).length));
        }
    }

    @Test
    void discardIncomplete_inTheMiddleOfAnEvent_dropsItsBytes() {
        EventStreamSplitter splitter = EventStreamSplitter.atStart();
        splitter.append(ByteBuffer.wrap(bytesOf("data: a||data: b")));
        splitter.discardIncomplete();

        splitter.append(ByteBuffer.wrap(bytesOf("data: b||")));

        assertThat(splitter.tokens(), equalTo(2L));
        assertThat(splitter.incomplete().remaining(), equalTo(0));
    }

    private static byte[] bytesOf(String text) {
        return text.replace('|', '\n').replace('~', '\r').getBytes(StandardCharsets.UTF_8);
    }
}
