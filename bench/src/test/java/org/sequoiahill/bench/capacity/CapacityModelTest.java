package org.sequoiahill.bench.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CapacityModelTest {
    private static final TargetSize TARGET = new TargetSize(40, 10, 100, 1_000, 0.5, 100, 1 << 20);

    @Test
    void rows_entryBytes_addEndpointsAndOtherEntries() {
        CapacityRow row = row(fits(), "entry", "control, B/s");

        assertThat(row.usage(), closeTo(5 + 40 * 2 + 10 * 2, 1e-9));
        assertThat(row.isMet(), is(false));
        assertThat(row.toMarkdown(), containsString("**missed**"));
    }

    @Test
    void rows_agentBytes_dependOnEndpointsOnly() {
        CapacityRow row = row(fits(), "agent", "control, B/s");

        assertThat(row.usage(), closeTo(85, 1e-9));
        assertThat(row.isMet(), is(true));
    }

    @Test
    void rows_negativeSlope_countsAsZero() {
        Map<String, LinearFit> fits = fits();
        fits.put("entry.cores.entry", new LinearFit(5, -2, 1));

        assertThat(row(fits, "entry", "control, cores").usage(), closeTo(5 + 40 * 2, 1e-9));
    }

    @Test
    void rows_requests_dividedByNumberOfEntries() {
        CapacityRow row = row(fits(), "entry", "requests and tokens, cores");

        assertThat(row.usage(), closeTo(100 / 10.0 * 2 + 1_000 / 10.0 * 2, 1e-9));
    }

    @Test
    void rows_missingFit_namedInError() {
        Map<String, LinearFit> fits = fits();
        fits.remove("store.cores.endpoint");

        IllegalArgumentException failure =
                assertThrows(IllegalArgumentException.class, () -> rows(fits));

        assertThat(failure.getMessage(), containsString("store.cores.endpoint"));
    }

    private static CapacityRow row(Map<String, LinearFit> fits, String role, String quantity) {
        return rows(fits).stream()
                .filter(row -> row.role().equals(role) && row.quantity().equals(quantity))
                .findFirst()
                .orElseThrow();
    }

    private static List<CapacityRow> rows(Map<String, LinearFit> fits) {
        return CapacityModel.of(fits, TARGET).rows();
    }

    /** Returns fits that all have the intercept 5 and the slope 2. */
    private static Map<String, LinearFit> fits() {
        Map<String, LinearFit> fits = new HashMap<>();
        for (String role : List.of("entry", "store", "agent")) {
            for (String quantity : List.of("cores", "bytes_per_second", "resident_bytes")) {
                fits.put(role + "." + quantity + ".endpoint", new LinearFit(5, 2, 0));
                fits.put(role + "." + quantity + ".entry", new LinearFit(5, 2, 0));
            }
            fits.put(role + ".cores.request", new LinearFit(5, 2, 0));
            fits.put(role + ".cpu_seconds_per_request.token", new LinearFit(5, 2, 0));
        }
        return fits;
    }
}
