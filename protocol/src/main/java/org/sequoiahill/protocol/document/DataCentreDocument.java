package org.sequoiahill.protocol.document;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.sequoiahill.protocol.json.Checked;
import org.sequoiahill.protocol.json.Fault;
import org.sequoiahill.protocol.json.JsonText;
import org.sequoiahill.protocol.json.ObjectReader;

/**
 * What operators state of a data centre.
 *
 * @param dataCentre name of the data centre
 * @param isOut whether the data centre gets no new work
 */
public record DataCentreDocument(String dataCentre, boolean isOut) {
    private static final Pattern STATE = Pattern.compile("in|out");

    /** Parses and checks a document; every fault is reported. */
    public static Checked<DataCentreDocument> parse(String text) {
        Checked<JsonText> json = JsonText.parse(text);
        if (!json.isValid()) {
            return Checked.faulty(json.faults());
        }
        List<Fault> faults = new ArrayList<>();
        ObjectReader reader = json.orElseThrow().reader(faults);
        DataCentreDocument document =
                new DataCentreDocument(
                        reader.string("dataCentre", ServiceDocument.NAME),
                        reader.string("state", STATE).equals("out"));
        reader.rejectUnknownKeys();
        return faults.isEmpty() ? Checked.of(document) : Checked.faulty(faults);
    }
}
