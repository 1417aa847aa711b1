package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link PieceQueue}. */
final class PieceQueueTest {
    @Test
    void take_pieceFailed_isReturnedAgainAfterTheOthers() {
        PieceQueue queue = PieceQueue.of(List.of(1, 2), 10);
        assertThat(queue.take(), is(1));
        assertThat(queue.failed(1), is(1));
        assertThat(queue.take(), is(2));
        queue.completed(2);
        assertThat(queue.take(), is(1));
        assertThat(queue.failures(1), is(1));
        queue.completed(1);
        assertThat(queue.take(), nullValue());
    }

    @Test
    void take_tooManyFailures_returnsNull() {
        PieceQueue queue = PieceQueue.of(List.of(1), 2);
        queue.failed(queue.take());
        queue.failed(queue.take());
        assertThat(queue.take(), nullValue());
    }
}
