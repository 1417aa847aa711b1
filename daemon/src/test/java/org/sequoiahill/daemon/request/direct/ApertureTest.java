package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;

/** Tests of {@link Aperture}. */
final class ApertureTest {
    @ParameterizedTest
    @CsvSource({
        // entries and endpoints of a region; endpoints in each aperture; minimum and maximum number
        // of apertures that contain an endpoint
        "10, 13, 4, 3, 4",
        "2, 2, 2, 2, 2",
        "3, 40, 14, 1, 2",
        "16, 8, 4, 8, 8",
        "50, 134, 4, 1, 2",
        "1, 9, 9, 1, 1"
    })
    void of_allEntriesOfARegion_coverItsEndpointsEvenly(
            int entries, int endpoints, int width, int min, int max) {
        TestFleet fleet = new TestFleet().entries(entries).endpoint("far", "dc-2", 8);
        for (int i = 0; i < endpoints; i++) {
            fleet.endpoint("i-" + i, "dc-1", 8);
        }
        FleetSnapshot snapshot = fleet.snapshot();
        Map<String, Integer> entriesOf = new HashMap<>();
        for (int entry = 0; entry < entries; entry++) {
            Aperture aperture = Aperture.of(snapshot, "writer", settings("entry-" + entry));
            int contained = 0;
            for (EndpointInfo endpoint : snapshot.endpoints("writer")) {
                if (aperture.contains(endpoint)) {
                    contained++;
                    entriesOf.merge(endpoint.id(), 1, Integer::sum);
                }
            }
            assertThat(contained, is(width));
        }
        assertThat(entriesOf.size(), is(endpoints));
        assertThat(entriesOf.containsKey("far"), is(false));
        entriesOf
                .values()
                .forEach(
                        count -> {
                            assertThat(count, greaterThanOrEqualTo(min));
                            assertThat(count, lessThanOrEqualTo(max));
                        });
    }

    @Test
    void of_regionWithoutEndpoints_containsNone() {
        FleetSnapshot snapshot = new TestFleet().entries(3).endpoint("far", "dc-2", 8).snapshot();
        Aperture aperture = Aperture.of(snapshot, "writer", settings("entry-0"));
        assertThat(aperture.contains(snapshot.endpoints("writer").get(0)), is(false));
    }

    private static DirectSettings settings(String vm) {
        return new DirectSettings(
                vm,
                TestFleet.SETTINGS.regionsByDataCentre(),
                "region-1",
                0.2,
                Duration.ofSeconds(10),
                100,
                Duration.ofSeconds(7),
                Duration.ofMillis(7_500));
    }
}
