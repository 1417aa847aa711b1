package org.sequoiahill.daemon.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.connection.BodyBuffer.Result;

/** Tests of {@link BodyBuffer} and {@link HeldBytes}. */
final class BodyBufferTest {
    private static final int MAX_BYTES = 1 << 20;
    private static final long ALL_BYTES = 1 << 20;
    private static final long LARGE_BYTES = 768 << 10;

    private final ByteBudget mAll = ByteBudget.of(ALL_BYTES);
    private final ByteBudget mLarge = mAll.part(LARGE_BYTES);

    @ParameterizedTest
    @CsvSource({
        // stated length, bytes of other large bodies, bytes of other small ones; result
        "0, 0, 0, ADDED",
        "-1, 786432, 262144, ADDED",
        "1, 0, 1048576, NO_ROOM",
        "65536, 786432, 196608, ADDED",
        "65536, 786432, 196609, NO_ROOM",
        "65537, 720895, 0, ADDED",
        "65537, 720896, 0, NO_ROOM",
        "65537, 0, 983039, ADDED",
        "65537, 0, 983040, NO_ROOM",
        "786432, 0, 0, ADDED",
        "786433, 0, 0, NO_ROOM",
        "1048577, 0, 0, TOO_LARGE"
    })
    void reserveStatedLength_besideOthers_needsRoomInItsPartAndInAll(
            long length, long large, long small, Result result) {
        assertThat(mLarge.tryReserve(large), is(true));
        assertThat(mAll.tryReserve(small), is(true));
        HeldBytes held = HeldBytes.of(mAll, mLarge);
        assertThat(BodyBuffer.of(length, MAX_BYTES, held).reserveStatedLength(), is(result));
        boolean isHeld = result == Result.ADDED && length > 0;
        assertThat(mAll.reserved(), is(large + small + (isHeld ? length : 0)));
        held.release();
        held.release();
        assertThat(mAll.reserved(), is(large + small));
        assertThat(mLarge.reserved(), is(large));
    }

    @ParameterizedTest
    @CsvSource({
        // size, size of its parts, whether the length is stated; largest number of bytes held
        "1, 1, true, 1",
        "10000, 100, true, 10000",
        "200000, 7000, true, 200000",
        "1, 1, false, 4096",
        "10000, 100, false, 16384",
        "200000, 7000, false, 262144",
        "262144, 16384, false, 262144",
        "0, 1, false, 0"
    })
    void add_inParts_keepsTheBytesAndReservesTheirMemory(
            int size, int partSize, boolean isStated, long maxHeld) {
        HeldBytes held = HeldBytes.of(mAll, mLarge);
        BodyBuffer body = BodyBuffer.of(isStated ? size : -1, MAX_BYTES, held);
        byte[] bytes = new byte[size];
        for (int i = 0; i < size; i++) {
            bytes[i] = (byte) (i % 251);
        }
        assertThat(body.reserveStatedLength(), is(Result.ADDED));
        for (int from = 0; from < size; from += partSize) {
            int count = Math.min(partSize, size - from);
            assertThat(body.add(ByteBuffer.wrap(bytes, from, count)), is(Result.ADDED));
            assertThat(mAll.reserved(), lessThanOrEqualTo(maxHeld));
        }
        assertThat(body.bytes(), is(ByteBuffer.wrap(bytes)));
        held.release();
        assertThat(mAll.reserved(), is(0L));
        assertThat(mLarge.reserved(), is(0L));
    }

    @ParameterizedTest
    @CsvSource({
        // bytes of other bodies, size of each of two parts; result of adding the second
        "0, 262144, ADDED",
        "0, 524289, TOO_LARGE",
        "851968, 65536, ADDED",
        "851969, 65536, NO_ROOM",
        "1015808, 16384, NO_ROOM",
        "0, 524288, NO_ROOM"
    })
    void add_withoutRoom_addsNothing(long others, int size, Result result) {
        assertThat(mAll.tryReserve(others), is(true));
        BodyBuffer body = BodyBuffer.of(-1, MAX_BYTES, HeldBytes.of(mAll, mAll));
        assertThat(body.add(ByteBuffer.allocate(size)), is(Result.ADDED));
        assertThat(body.add(ByteBuffer.allocate(size)), is(result));
        assertThat(body.bytes().remaining(), is(result == Result.ADDED ? 2 * size : size));
    }

    @ParameterizedTest
    @CsvSource({
        // stated length, size of the body; bytes held once it has grown, and once it is complete
        "-1, 65536, 65536, 65536",
        "-1, 65537, 393216, 131072",
        "-1, 262144, 393216, 262144",
        "262144, 262144, 262144, 262144"
    })
    void add_reservingMaximum_holdsItFromTheFirstLargeSize(
            long length, int size, long grown, long complete) {
        HeldBytes held = HeldBytes.of(mAll, mLarge);
        BodyBuffer body = BodyBuffer.reservingMaximum(length, 262_144, held);
        assertThat(body.reserveStatedLength(), is(Result.ADDED));
        assertThat(body.add(ByteBuffer.allocate(size - 1)), is(Result.ADDED));
        assertThat(body.add(ByteBuffer.allocate(1)), is(Result.ADDED));
        assertThat(mAll.reserved(), is(grown));
        assertThat(body.bytes().remaining(), is(size));
        assertThat(mAll.reserved(), is(complete));
        held.release();
        assertThat(mAll.reserved(), is(0L));
    }

    @Test
    void add_afterTheRelease_holdsNothing() {
        HeldBytes held = HeldBytes.of(mAll, mLarge);
        BodyBuffer body = BodyBuffer.of(-1, MAX_BYTES, held);
        held.release();
        assertThat(body.add(ByteBuffer.allocate(1)), is(Result.NO_ROOM));
        assertThat(mAll.reserved(), is(0L));
    }
}
