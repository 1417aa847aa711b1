package org.sequoiahill.daemon.process.logging;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
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

/** Writes each log entry as one JSON object on one line, to a file or to standard error. */
public final class JsonLineWriter implements Writer {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final OutputStream mOutput;

    /**
     * Makes a writer; called by tinylog.
     *
     * @param properties {@code file}, where lines are appended to a file
     * @throws IOException where the file can't be opened
     */
    public JsonLineWriter(Map<String, String> properties) throws IOException {
        String file = properties.get("file");
        mOutput =
                file == null
                        ? System.err
                        : new PrintStream(
                                Files.newOutputStream(
                                        Path.of(file),
                                        StandardOpenOption.CREATE,
                                        StandardOpenOption.APPEND),
                                true,
                                StandardCharsets.UTF_8);
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
    public void write(LogEntry entry) throws IOException {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().toString());
        line.put("class", entry.getClassName());
        line.put("thread", entry.getThread().getName());
        line.put("message", entry.getMessage());
        if (entry.getException() != null) {
            line.put("exception", entry.getException().toString());
        }
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        synchronized (mOutput) {
            mOutput.write(bytes);
        }
    }

    @Override
    public void flush() throws IOException {
        mOutput.flush();
    }

    @Override
    public void close() throws IOException {
        mOutput.flush();
    }
}
