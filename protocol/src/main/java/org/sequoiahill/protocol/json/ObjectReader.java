package org.sequoiahill.protocol.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Reads the fields of one JSON object and collects all faults instead of stopping at the first. */
public final class ObjectReader {
    private final JsonNode mNode;
    private final String mPointer;
    private final Map<String, Integer> mLines;
    private final List<Fault> mFaults;
    private final Set<String> mReadKeys = new HashSet<>();

    ObjectReader(JsonNode node, String pointer, Map<String, Integer> lines, List<Fault> faults) {
        mNode = node;
        mPointer = pointer;
        mLines = lines;
        mFaults = faults;
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String key) {
        return mNode.hasNonNull(key);
    }

    /**
     * Returns a required string that matches the pattern; returns "" and adds a fault otherwise.
     */
    public String string(String key, Pattern pattern) {
        JsonNode value = required(key);
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || !pattern.matcher(value.asText()).matches()) {
            fault(key, "is " + value + "; must be a string like " + pattern.pattern());
            return "";
        }
        return value.asText();
    }

    /** Returns a string that matches the pattern, or the default if the key is absent. */
    public String string(String key, Pattern pattern, String defaultValue) {
        return has(key) ? string(key, pattern) : defaultOf(key, defaultValue);
    }

    /**
     * Returns a required integer between two inclusive bounds; returns {@code min} and adds a fault
     * otherwise.
     */
    public long integer(String key, long min, long max) {
        JsonNode value = required(key);
        if (value == null) {
            return min;
        }
        if (!value.canConvertToExactIntegral()
                || !value.canConvertToLong()
                || value.asLong() < min
                || value.asLong() > max) {
            fault(key, "is " + value + "; must be a whole number " + min + " to " + max);
            return min;
        }
        return value.asLong();
    }

    /** Returns an integer between two inclusive bounds, or the default if the key is absent. */
    public long integer(String key, long min, long max, long defaultValue) {
        return has(key) ? integer(key, min, max) : defaultOf(key, defaultValue);
    }

    /** Returns a number between two inclusive bounds, or the default if the key is absent. */
    public double number(String key, double min, double max, double defaultValue) {
        if (!has(key)) {
            return defaultOf(key, defaultValue);
        }
        mReadKeys.add(key);
        JsonNode value = mNode.get(key);
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            fault(key, "is " + value + "; must be a number " + min + " to " + max);
            return defaultValue;
        }
        return value.asDouble();
    }

    /** Returns a duration that is given in milliseconds, or the default if the key is absent. */
    public Duration millis(String key, long min, long max, long defaultValue) {
        return Duration.ofMillis(integer(key, min, max, defaultValue));
    }

    /** Returns a boolean, or the default if the key is absent. */
    public boolean bool(String key, boolean defaultValue) {
        if (!has(key)) {
            return defaultOf(key, defaultValue);
        }
        JsonNode value = mNode.get(key);
        mReadKeys.add(key);
        if (!value.isBoolean()) {
            fault(key, "is " + value + "; must be true or false");
        }
        return value.asBoolean(defaultValue);
    }

    /**
     * Returns the result of {@code read} on an object; an absent field reads as an empty object.
     */
    public <T> T object(String key, Function<ObjectReader, T> read) {
        mReadKeys.add(key);
        JsonNode value = mNode.get(key);
        if (value != null && !value.isObject()) {
            fault(key, "must be an object");
            value = null;
        }
        JsonNode object = value == null ? JsonNodeFactory.instance.objectNode() : value;
        return readObject(object, pointer(key), read);
    }

    /** Returns the results of {@code read} on each object of an array; an absent array is empty. */
    public <T> List<T> objects(String key, Function<ObjectReader, T> read) {
        List<T> result = new ArrayList<>();
        JsonNode array = array(key);
        for (int i = 0; i < array.size(); i++) {
            if (array.get(i).isObject()) {
                result.add(readObject(array.get(i), pointer(key) + "/" + i, read));
            } else {
                fault(key, "item " + i + " must be an object");
            }
        }
        return List.copyOf(result);
    }

    /**
     * Returns the strings of an array that match the pattern, and adds a fault for each other item;
     * an absent array is empty.
     */
    public List<String> strings(String key, Pattern pattern) {
        List<String> result = new ArrayList<>();
        for (JsonNode value : array(key)) {
            if (value.isTextual() && pattern.matcher(value.asText()).matches()) {
                result.add(value.asText());
            } else {
                fault(key, "holds " + value + "; must be strings like " + pattern.pattern());
            }
        }
        return List.copyOf(result);
    }

    /**
     * Returns the fields of an object with any keys, whose values are integers between two
     * inclusive bounds; an absent object is empty.
     */
    public Map<String, Long> integers(String key, long min, long max) {
        return object(
                key,
                reader -> {
                    Map<String, Long> result = new LinkedHashMap<>();
                    reader.mNode
                            .fieldNames()
                            .forEachRemaining(
                                    name -> result.put(name, reader.integer(name, min, max)));
                    return Map.copyOf(result);
                });
    }

    /**
     * Returns the fields of an object whose keys and string values match the patterns; an absent
     * object is empty.
     */
    public Map<String, String> strings(String key, Pattern keyPattern, Pattern valuePattern) {
        return object(
                key,
                reader -> {
                    Map<String, String> result = new LinkedHashMap<>();
                    List<String> names = new ArrayList<>();
                    reader.mNode.fieldNames().forEachRemaining(names::add);
                    for (String name : names) {
                        if (!keyPattern.matcher(name).matches()) {
                            reader.fault(name, "must be a key like " + keyPattern.pattern());
                        }
                        result.put(name, reader.string(name, valuePattern));
                    }
                    return Map.copyOf(result);
                });
    }

    /** Adds a fault about a field. */
    public void fault(String key, String message) {
        String pointer = pointer(key);
        mFaults.add(new Fault(pointer, mLines.getOrDefault(pointer, lineOfParent()), message));
    }

    /** Adds a fault for each field that has not been read. */
    public void rejectUnknownKeys() {
        mNode.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!mReadKeys.contains(key)) {
                                fault(key, "is not a known key");
                            }
                        });
    }

    private <T> T readObject(JsonNode node, String pointer, Function<ObjectReader, T> read) {
        ObjectReader reader = new ObjectReader(node, pointer, mLines, mFaults);
        T result = read.apply(reader);
        reader.rejectUnknownKeys();
        return result;
    }

    private JsonNode array(String key) {
        mReadKeys.add(key);
        JsonNode value = mNode.get(key);
        if (value != null && !value.isArray()) {
            fault(key, "must be an array");
        }
        return value != null && value.isArray() ? value : JsonNodeFactory.instance.arrayNode();
    }

    private @Nullable JsonNode required(String key) {
        mReadKeys.add(key);
        if (!has(key)) {
            fault(key, "is missing");
            return null;
        }
        return mNode.get(key);
    }

    private <T> T defaultOf(String key, T defaultValue) {
        mReadKeys.add(key);
        return defaultValue;
    }

    private int lineOfParent() {
        return mLines.getOrDefault(mPointer, 0);
    }

    private String pointer(String key) {
        return mPointer + "/" + key;
    }
}
