package org.sequoiahill.protocol.json;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Outcome of a checked read: a value, or the faults that forbid one.
 *
 * @param value the value, or null where there are faults
 * @param faults all faults found, in the order of the text
 * @param <T> type of the value
 */
public record ParseResult<T>(@Nullable T value, List<Fault> faults) {
    /** Returns an outcome that holds a value. */
    public static <T> ParseResult<T> of(T value) {
        return new ParseResult<>(value, List.of());
    }

    /** Returns an outcome that holds faults only. */
    public static <T> ParseResult<T> faulty(List<Fault> faults) {
        return new ParseResult<>(null, List.copyOf(faults));
    }

    /** Returns whether a value is held. */
    public boolean isValid() {
        return faults.isEmpty();
    }

    /**
     * Returns the value.
     *
     * @throws IllegalArgumentException where there are faults; the message lists them
     */
    public T orElseThrow() {
        if (value == null) {
            throw new IllegalArgumentException(describeFaults());
        }
        return value;
    }

    /** Gives the value, where there is one, to {@code use}. */
    public void ifValid(Consumer<? super T> use) {
        if (value != null) {
            use.accept(value);
        }
    }

    /** Returns all faults, one a line. */
    public String describeFaults() {
        return faults.stream().map(Fault::toString).collect(Collectors.joining("\n"));
    }
}
