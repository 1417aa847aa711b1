package org.sequoiahill.daemon.connection;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.daemon.connection.ExchangeTable.Report;

/** Queries a peer for the status of an exchange over a new connection. */
@FunctionalInterface
public interface ExchangeStatusClient {
    /**
     * Queries the status; the peer bars the exchange if its request has certainly not arrived. The
     * future fails if the peer does not respond in time.
     *
     * @param address data address of the peer, as host:port
     * @param id id of the request
     * @param age time since the exchange was sent
     */
    CompletableFuture<Report> query(String address, String id, Duration age);
}
