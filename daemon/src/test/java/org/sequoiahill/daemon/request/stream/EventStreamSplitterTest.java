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
    void take_anyCutOfTheBytes_countsWholeEvents(
            String stream, long tokens, boolean isDone, String rest) {
        byte[] bytes = bytesOf(stream);
        for (int cut = 0; cut <= bytes.length; cut++) {
            EventStreamSplitter cursor = EventStreamSplitter.atStart();
            int whole = 0;
            whole +=
                    cursor.append(ByteBuffer.wrap(bytes, 0, cut))
                            .map(ByteBuffer::remaining)
                            .orElse(0);
            whole +=
                    cursor.append(ByteBuffer.wrap(bytes, cut, bytes.length - cut))
                            .map(ByteBuffer::remaining)
                            .orElse(0);

            assertThat(cursor.tokens(), equalTo(tokens));
            assertThat(cursor.isDone(), equalTo(isDone));
            assertThat(cursor.incomplete(), equalTo(ByteBuffer.wrap(bytesOf(rest))));
            assertThat(whole, equalTo(bytes.length - bytesOf(rest).length));
        }
    }

    @Test
    void resume_inTheMiddleOfAnEvent_dropsTheHalf() {
        EventStreamSplitter cursor = EventStreamSplitter.atStart();
        cursor.append(ByteBuffer.wrap(bytesOf("data: a||data: b")));
        cursor.discardIncomplete();

        cursor.append(ByteBuffer.wrap(bytesOf("data: b||")));

        assertThat(cursor.tokens(), equalTo(2L));
        assertThat(cursor.incomplete().remaining(), equalTo(0));
    }

    private static byte[] bytesOf(String text) {
        return text.replace('|', '\n').replace('~', '\r').getBytes(StandardCharsets.UTF_8);
    }
}
