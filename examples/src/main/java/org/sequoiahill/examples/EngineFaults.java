package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Faults that a test has ordered, each for the next completions whose prompt has a marker. */
final class EngineFaults {
    private final List<Order> mOrders = new ArrayList<>();

    /** What goes wrong with one completion. */
    enum Kind {
        NONE,
        /** The answer names another request and carries its text. */
        CROSSED,
        /** Nothing is ever answered. */
        SILENT,
        /** The answer begins seconds late. */
        LATE,
        /** The whole engine dies. */
        CRASH,
        /** The stream breaks off after its first tokens. */
        CUT
    }

    private record Order(Kind kind, String marker, int left) {}

    /** Takes an order: its kind, the marker, and how many completions it is for. */
    synchronized void add(JsonNode order) {
        mOrders.add(
                new Order(
                        Kind.valueOf(order.path("kind").asText().toUpperCase(Locale.ROOT)),
                        order.path("marker").asText(),
                        order.path("count").asInt(1)));
    }

    /** Returns the fault of the next completion with this prompt. */
    synchronized Kind next(String prompt) {
        for (int i = 0; i < mOrders.size(); i++) {
            Order order = mOrders.get(i);
            if (order.left() > 0 && prompt.contains(order.marker())) {
                mOrders.set(i, new Order(order.kind(), order.marker(), order.left() - 1));
                return order.kind();
            }
        }
        return Kind.NONE;
    }
}
