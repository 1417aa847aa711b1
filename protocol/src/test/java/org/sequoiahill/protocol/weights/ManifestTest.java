package org.sequoiahill.protocol.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.weights.Manifest.Chunk;
import org.sequoiahill.protocol.weights.Manifest.WeightFile;

/** Tests of {@link Manifest}. */
class ManifestTest {
    private static final String DIGEST = "a".repeat(64);
    private static final Manifest MANIFEST =
            new Manifest(
                    "v1",
                    10,
                    List.of(
                            new WeightFile(
                                    "model.bin", 25, DIGEST, List.of(DIGEST, DIGEST, DIGEST))));

    @Test
    void parse_serializedManifest_isEqual() {
        Manifest read = Manifest.parse(MANIFEST.toJson()).orElseThrow();

        assertThat(read, equalTo(MANIFEST));
        assertThat(read.digest(), is(MANIFEST.digest()));
    }

    @Test
    void chunks_lastChunkIsShort() {
        List<Chunk> chunks = MANIFEST.chunks();

        assertThat(chunks.size(), is(3));
        assertThat(chunks.get(2), equalTo(new Chunk("model.bin", 20, 5, DIGEST)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"bytes\":25|\"bytes\":35|/files/0/chunks: holds 3; must hold 4",
                "\"bytes\":25|\"bytes\":0|/files/0/bytes: is 0",
                "\"chunkBytes\":10|\"chunkBytes\":67108865|/chunkBytes: is 67108865",
                "model.bin|../model.bin|/files/0/name",
                "model.bin|.hidden|/files/0/name",
                "\"sha256\":\"a|\"sha256\":\"X|/files/0/sha256",
                "\"version\":\"v1\"|\"version\":\"V 1\"|/version",
                "{\"version\"|{\"extra\":1,\"version\"|/extra: is not a known key",
            })
    void parse_invalidManifest_namesPlaceAndRule(
            String replaced, String replacement, String expected) {
        ParseResult<Manifest> result =
                Manifest.parse(MANIFEST.toJson().replace(replaced, replacement));

        assertThat(result.isValid(), is(false));
        assertThat(result.describeFaults(), containsString(expected));
    }
}
