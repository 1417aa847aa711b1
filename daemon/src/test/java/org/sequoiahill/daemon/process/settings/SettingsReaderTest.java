package org.sequoiahill.daemon.process.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.protocol.json.ParseResult;

/** Tests of {@link SettingsReader}. */
class SettingsReaderTest {
    private static final Path EXAMPLES = Path.of("..", "docs", "operations", "examples");

    @ParameterizedTest
    @ValueSource(strings = {"entry-and-store.json", "agent.json"})
    void parse_documentedExample_isValid(String file) throws IOException {
        ParseResult<DaemonSettings> settings = SettingsReader.parse(example(file));

        assertThat(settings.describeFaults(), is(""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"vm\":|\"wm\":|/wm: is not a known key",
                "\"vm\":|\"wm\":|/vm: is missing",
                "ne-a-writer-1|Writer 1|line 3: /vm: is",
                "192.0.2.21:7000|192.0.2.21:99999|the port must be 1 to 65535",
                "192.0.2.21:7000|nowhere|/admin: is",
                "16|0|/agent/capacity: is 0; must be a whole number 1 to 100000",
                "16|1.5|/agent/capacity: is 1.5",
                "true|\"yes\"|/agent/checksFencing: is \"yes\"; must be true or false",
                "\"roles\": [\"agent\"]|\"roles\": [\"king\"]|/roles: holds \"king\"",
                "\"roles\": [\"agent\"]|\"roles\": []|must hold at least one of",
                "http://127.0.0.1:8000|ftp://127.0.0.1|/agent/engine",
            })
    void parse_invalidSettings_namesPlaceAndRule(
            String replaced, String replacement, String expected) throws IOException {
        String text = example("agent.json").replace(replaced, replacement);

        ParseResult<DaemonSettings> settings = SettingsReader.parse(text);

        assertThat(settings.isValid(), is(false));
        assertThat(settings.describeFaults(), containsString(expected));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{\"vm\": \"a\"", "{\"vm\": \"a\", \"vm\": \"b\"}", "{} {}"})
    void parse_malformedText_isRefused(String text) {
        assertThat(SettingsReader.parse(text).isValid(), is(false));
    }

    @Test
    void parse_emptyObject_reportsEveryMissingKey() {
        assertThat(SettingsReader.parse("{}").faults().size(), greaterThanOrEqualTo(8));
    }

    private static String example(String file) throws IOException {
        return Files.readString(EXAMPLES.resolve(file));
    }
}
