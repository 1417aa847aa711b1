package org.sequoiahill.protocol.json;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Result of parsing and checking a text: a value, or the faults that make the text invalid.
 *
 * @param value the value, or null if there are faults
 * @param faults all faults found, in the order in which they were found
 * @param <T> type of the value
 */
public record ParseResult<T>(@Nullable T value, List<Fault> faults) {
    /** Returns a result with a value. */
    public static <T> ParseResult<T> of(T value) {
        return new ParseResult<>(value, List.of());
    }

    /** Returns a result without a value. */
    public static <T> ParseResult<T> faulty(List<Fault> faults) {
        return new ParseResult<>(null, List.copyOf(faults));
    }

    /** Returns whether there is a value. */
    public boolean isValid() {
        return faults.isEmpty();
    }

    /**
     * Returns the value.
     *
     * @throws IllegalArgumentException if there are faults; the message lists them
     */
    public T orElseThrow() {
        if (value == null) {
            throw new IllegalArgumentException(describeFaults());
        }
        return value;
    }

    /** Passes the value, if there is one, to {@code action}. */
    public void ifValid(Consumer<? super T> action) {
        if (value != null) {
            action.accept(value);
        }
    }

    /** Returns all faults, one per line. */
    public String describeFaults() {
        return faults.stream().map(Fault::toString).collect(Collectors.joining("\n"));
    }
}
