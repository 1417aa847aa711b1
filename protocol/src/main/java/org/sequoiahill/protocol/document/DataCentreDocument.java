package org.sequoiahill.protocol.document;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.sequoiahill.protocol.json.Fault;
import org.sequoiahill.protocol.json.ObjectReader;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.json.ParsedJson;

/**
 * Desired state of a data centre, as set by operators.
 *
 * @param dataCentre name of the data centre
 * @param isOutOfService whether the data centre receives no new work
 */
public record DataCentreDocument(String dataCentre, boolean isOutOfService) {
    private static final Pattern STATE = Pattern.compile("in|out");

    /** Parses and checks a document; reports all faults. */
    public static ParseResult<DataCentreDocument> parse(String text) {
        ParseResult<ParsedJson> json = ParsedJson.parse(text);
        if (!json.isValid()) {
            return ParseResult.faulty(json.faults());
        }
        List<Fault> faults = new ArrayList<>();
        ObjectReader reader = json.orElseThrow().reader(faults);
        DataCentreDocument document =
                new DataCentreDocument(
                        reader.string("dataCentre", ServiceDocument.NAME),
                        reader.string("state", STATE).equals("out"));
        reader.rejectUnknownKeys();
        return faults.isEmpty() ? ParseResult.of(document) : ParseResult.faulty(faults);
    }
}
