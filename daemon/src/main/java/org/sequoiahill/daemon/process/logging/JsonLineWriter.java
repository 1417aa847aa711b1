package org.sequoiahill.daemon.process.logging;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as one JSON object on one line, to a file, to standard error or to standard
 * output.
 *
 * <p>A message that starts with a brace must be a JSON object, such as the line of a request, and
 * is written as the value of {@code event}. Lines go through a {@link LineQueue}, so that logging
 * never blocks on a slow reader of the log.
 */
public final class JsonLineWriter implements Writer {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String OBJECT_START = "{";
    private static final int MAX_QUEUED_LINES = 4_096;

    private final LineQueue mLines;

    /**
     * Creates a writer; called by tinylog.
     *
     * @param properties {@code file}, a file to append to; otherwise {@code stream}, which is
     *     {@code out} for standard output
     * @throws IOException if the file can't be opened
     */
    public JsonLineWriter(Map<String, String> properties) throws IOException {
        mLines = LineQueue.to(output(properties), MAX_QUEUED_LINES);
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.THREAD,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().toString());
        line.put("class", entry.getClassName());
        line.put("thread", entry.getThread().getName());
        String message = entry.getMessage();
        if (message != null && message.startsWith(OBJECT_START)) {
            line.putRawValue("event", new RawValue(message));
        } else {
            line.put("message", message);
        }
        if (entry.getException() != null) {
            line.put("exception", entry.getException().toString());
        }
        mLines.add((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void flush() throws IOException {
        mLines.flush();
    }

    @Override
    public void close() throws IOException {
        mLines.flush();
    }

    private static OutputStream output(Map<String, String> properties) throws IOException {
        String file = properties.get("file");
        if (file != null) {
            return Files.newOutputStream(
                    Path.of(file), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        return "out".equals(properties.get("stream")) ? System.out : System.err;
    }
}
