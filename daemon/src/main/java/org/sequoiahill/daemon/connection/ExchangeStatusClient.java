package org.sequoiahill.daemon.connection;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.daemon.connection.ExchangeTable.Report;

/** Asks a peer over a new connection what became of an exchange. */
@FunctionalInterface
public interface ExchangeStatusClient {
    /**
     * Asks; fails where the peer does not answer in time.
     *
     * @param address data address of the peer, as host:port
     * @param id identity of the request
     * @param age time since the exchange was sent
     */
    CompletableFuture<Report> query(String address, String id, Duration age);
}
