package org.sequoiahill.protocol.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.json.ParseResult;

/** Tests of {@link ServiceDocument}. */
class ServiceDocumentTest {
    private static final String VALID =
            """
            {
              // the ledger needs no weights
              "service": "ledger",
              "owner": "mules",
              "kind": "plain",
              "routes": [{"path": "/entries", "idempotent": false}]
            }
            """;

    @Test
    void parse_validDocument_isRead() {
        ServiceDocument document = ServiceDocument.parse(VALID).orElseThrow();

        assertThat(document.kind(), is(ServiceDocument.Kind.PLAIN));
        assertThat(document.routeByPath("/entries").isPresent(), is(true));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"owner\"|\"ovner\"|/ovner: is not a known key",
                "\"owner\"|\"ovner\"|/owner: is missing",
                "\"plain\"|\"model\"|/version: is missing",
                "\"ledger\"|\"Ledger!\"|line 3: /service",
                "false|7|/routes/0/idempotent",
            })
    void parse_invalidDocument_namesPlaceAndRule(
            String replaced, String replacement, String expected) {
        ParseResult<ServiceDocument> result =
                ServiceDocument.parse(VALID.replace(replaced, replacement));

        assertThat(result.isValid(), is(false));
        assertThat(result.describeFaults(), containsString(expected));
    }

    @Test
    void parse_severalFaults_reportsAll() {
        ParseResult<ServiceDocument> result = ServiceDocument.parse("{}");

        assertThat(result.faults().size(), is(4));
    }
}
