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

/**
 * Reads the fields of one JSON object and collects every fault instead of stopping at the first.
 */
public final class ObjectReader {
    private final JsonNode mNode;
    private final String mPointer;
    private final Map<String, Integer> mLines;
    private final List<Fault> mFaults;
    private final Set<String> mKnown = new HashSet<>();

    ObjectReader(JsonNode node, String pointer, Map<String, Integer> lines, List<Fault> faults) {
        mNode = node;
        mPointer = pointer;
        mLines = lines;
        mFaults = faults;
    }

    /** Returns whether the field is present. */
    public boolean has(String key) {
        return mNode.hasNonNull(key);
    }

    /** Returns a required string that matches the pattern, or an empty string with a fault. */
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

    /** Returns a string that matches the pattern, or the default where the key is absent. */
    public String string(String key, Pattern pattern, String defaultValue) {
        return has(key) ? string(key, pattern) : absent(key, defaultValue);
    }

    /** Returns a required whole number between two bounds, both inclusive. */
    public long integer(String key, long least, long most) {
        JsonNode value = required(key);
        if (value == null) {
            return least;
        }
        if (!value.canConvertToExactIntegral()
                || !value.canConvertToLong()
                || value.asLong() < least
                || value.asLong() > most) {
            fault(key, "is " + value + "; must be a whole number " + least + " to " + most);
            return least;
        }
        return value.asLong();
    }

    /** Returns a whole number between two bounds, or the default where the key is absent. */
    public long integer(String key, long least, long most, long defaultValue) {
        return has(key) ? integer(key, least, most) : absent(key, defaultValue);
    }

    /** Returns a number between two bounds, or the default where the key is absent. */
    public double number(String key, double least, double most, double defaultValue) {
        if (!has(key)) {
            return absent(key, defaultValue);
        }
        mKnown.add(key);
        JsonNode value = mNode.get(key);
        if (!value.isNumber() || value.asDouble() < least || value.asDouble() > most) {
            fault(key, "is " + value + "; must be a number " + least + " to " + most);
            return defaultValue;
        }
        return value.asDouble();
    }

    /** Returns a duration given in milliseconds between two bounds, or the default. */
    public Duration millis(String key, long least, long most, long defaultValue) {
        return Duration.ofMillis(integer(key, least, most, defaultValue));
    }

    /** Returns a boolean, or the default where the key is absent. */
    public boolean bool(String key, boolean defaultValue) {
        if (!has(key)) {
            return absent(key, defaultValue);
        }
        JsonNode value = mNode.get(key);
        mKnown.add(key);
        if (!value.isBoolean()) {
            fault(key, "is " + value + "; must be true or false");
        }
        return value.asBoolean(defaultValue);
    }

    /**
     * Returns what {@code read} makes of an object field; an absent field reads as an empty one.
     */
    public <T> T object(String key, Function<ObjectReader, T> read) {
        mKnown.add(key);
        JsonNode value = mNode.get(key);
        if (value != null && !value.isObject()) {
            fault(key, "must be an object");
            value = null;
        }
        JsonNode object = value == null ? JsonNodeFactory.instance.objectNode() : value;
        return readObject(object, pointer(key), read);
    }

    /** Returns what {@code read} makes of each object in an array; an absent array is empty. */
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

    /** Returns the strings of an array, each of which matches the pattern. */
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

    /** Returns an object whose keys are free and whose values are whole numbers in bounds. */
    public Map<String, Long> integers(String key, long least, long most) {
        return object(
                key,
                reader -> {
                    Map<String, Long> result = new LinkedHashMap<>();
                    reader.mNode
                            .fieldNames()
                            .forEachRemaining(
                                    name -> result.put(name, reader.integer(name, least, most)));
                    return Map.copyOf(result);
                });
    }

    /** Returns an object whose keys and values match patterns. */
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

    /** Adds a fault for each field that nothing has read. */
    public void rejectUnknownKeys() {
        mNode.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!mKnown.contains(key)) {
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
        mKnown.add(key);
        JsonNode value = mNode.get(key);
        if (value != null && !value.isArray()) {
            fault(key, "must be an array");
        }
        return value != null && value.isArray() ? value : JsonNodeFactory.instance.arrayNode();
    }

    private @Nullable JsonNode required(String key) {
        mKnown.add(key);
        if (!has(key)) {
            fault(key, "is missing");
            return null;
        }
        return mNode.get(key);
    }

    private <T> T absent(String key, T defaultValue) {
        mKnown.add(key);
        return defaultValue;
    }

    private int lineOfParent() {
        return mLines.getOrDefault(mPointer, 0);
    }

    private String pointer(String key) {
        return mPointer + "/" + key;
    }
}
