package org.sequoiahill.bench.capacity;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahill.bench.processes.Topology.Vm;

/** Reads the metrics that a daemon serves at {@code /metrics}. */
final class MetricsReader implements AutoCloseable {
    private final HttpClient mClient = new HttpClient();

    private MetricsReader() {}

    static MetricsReader start() throws Exception {
        MetricsReader reader = new MetricsReader();
        reader.mClient.start();
        return reader;
    }

    /** Returns the sum of all samples whose line in a daemon's metrics starts with a prefix. */
    double sumOf(Vm vm, String prefix) throws IOException, InterruptedException {
        double sum = 0;
        for (String line : (Iterable<String>) scrape(vm).lines()::iterator) {
            if (line.startsWith(prefix)) {
                sum += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        return sum;
    }

    private String scrape(Vm vm) throws IOException, InterruptedException {
        try {
            return mClient.GET("http://" + vm.admin() + "/metrics").getContentAsString();
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(vm.name() + ": cannot read metrics", e);
        }
    }

    @Override
    public void close() throws IOException {
        try {
            mClient.stop();
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
