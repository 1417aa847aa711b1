package org.sequoiahill.daemon.process.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.json.ParseResult;

/** Tests of {@link FleetSettingsReader}. */
final class FleetSettingsReaderTest {
    private static final String ENTRY =
            """
            {
              // an entry
              "vm": "10.0.0.4", "name": "entry-1", "role": "entry", "dataCentre": "a",
              "regions": {"a": "north", "b": "south"},
              "control": "10.0.0.4:7700", "metrics": "10.0.0.4:7701",
              "callers": "10.0.0.4:80", "ready": "10.0.0.4:81", "operators": "",
              "seeds": ["10.0.0.9:8000", "10.1.0.9:8000"], "seedPort": 7700,
              "mayFound": true, "dataFolder": "", "engine": "", "service": "",
              "bounds": {"heartbeatMillis": 1200, "lostStores": 1, "repeatRatio": 0.2,
                "repeatWindowSeconds": 10, "repeatSlack": 104, "versionMillis": 8000,
                "drainSeconds": 8.5}
            }
            """;

    @Test
    void parse_entry_readsEveryKey() {
        FleetSettings settings = FleetSettingsReader.parse(ENTRY).orElseThrow();
        assertThat(settings.role(), is(FleetSettings.FleetRole.ENTRY));
        assertThat(settings.region(), is("north"));
        assertThat(
                settings.seeds(),
                is(List.of(new HostPort("10.0.0.9", 7700), new HostPort("10.1.0.9", 7700))));
        assertThat(settings.operatorAddress().isPresent(), is(false));
        assertThat(settings.limits().drainTimeout(), is(Duration.ofMillis(8_500)));
        assertThat(settings.limits().retryRatio(), is(0.2));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // replaced text | replacement | key that the fault names
                "\"role\": \"entry\"|\"role\": \"king\"|/role",
                "\"callers\": \"10.0.0.4:80\"|\"callers\": \"\"|/callers",
                "\"callers\": \"10.0.0.4:80\"|\"callers\": \"10.0.0.4:99999\"|/callers",
                "\"role\": \"entry\"|\"role\": \"store\"|/operators",
                "\"role\": \"entry\"|\"role\": \"agent\"|/engine",
                "[\"10.0.0.9:8000\", \"10.1.0.9:8000\"]|[]|/seeds",
                "\"repeatRatio\": 0.2|\"repeatRatio\": -1|/bounds/repeatRatio",
                "\"versionMillis\": 8000|\"versionMillis\": \"8s\"|/bounds/versionMillis",
                "\"mayFound\": true|\"mayFound\": 1|/mayFound",
                "\"service\": \"\"|\"sevrice\": \"\"|/sevrice"
            })
    void parse_invalid_namesTheKey(String replaced, String replacement, String key) {
        String text = ENTRY.replace(replaced, replacement);
        assertThat("the text was changed", text.equals(ENTRY), is(false));
        ParseResult<FleetSettings> parsed = FleetSettingsReader.parse(text);
        assertThat(parsed.isValid(), is(false));
        assertThat(parsed.describeFaults(), containsString(key));
    }
}
