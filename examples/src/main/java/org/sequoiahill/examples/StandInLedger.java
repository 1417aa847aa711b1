package org.sequoiahill.examples;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A stand-in plain service whose requests must run at most once. A request counts as a run of its
 * idempotency key when it arrives; the response follows after the {@code delayMillis} of its body.
 */
public final class StandInLedger {
    private StandInLedger() {}

    private static final class Arguments {
        @Parameter(names = "--listen", required = true)
        private String mListen = "";
    }

    /** Runs the stand-in until the process is terminated. */
    public static void main(String[] args) throws Exception {
        Arguments arguments = new Arguments();
        StandInServer.parse("stand-in-ledger", arguments, args);
        StandInServer.start(arguments.mListen, new LedgerHandler()).join();
    }

    private static final class LedgerHandler extends Handler.Abstract {
        private static final JsonMapper MAPPER = JsonMapper.builder().build();

        private final ScheduledExecutorService mScheduler = Executors.newScheduledThreadPool(1);
        private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws IOException {
            switch (Request.getPathInContext(request)) {
                case "/entries" -> {
                    JsonNode body = MAPPER.readTree(Content.Source.asInputStream(request));
                    String key = request.getHeaders().get("Idempotency-Key");
                    int runs =
                            mRuns.computeIfAbsent(String.valueOf(key), k -> new AtomicInteger())
                                    .incrementAndGet();
                    ObjectNode result = MAPPER.createObjectNode().put("key", key);
                    result.put("run", runs);
                    mScheduler.schedule(
                            () -> StandInServer.sendJson(response, callback, 201, result),
                            body.path("delayMillis").asLong(),
                            TimeUnit.MILLISECONDS);
                }
                case "/admin/runs" -> {
                    ObjectNode runs = MAPPER.createObjectNode();
                    mRuns.forEach((key, count) -> runs.put(key, count.get()));
                    StandInServer.sendJson(response, callback, 200, runs);
                }
                default -> {
                    return false;
                }
            }
            return true;
        }
    }
}
