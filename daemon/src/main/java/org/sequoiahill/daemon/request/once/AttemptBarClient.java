package org.sequoiahill.daemon.request.once;

import java.io.IOException;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.sequoiahill.daemon.request.RequestHeaders;
import org.sequoiahill.daemon.request.once.AgentAddressResolver.Address;

/**
 * Requests agents, directly or through entries of other data centres, to bar attempts, so that one
 * that has not started never will.
 */
public final class AttemptBarClient {
    /** Header that names the agent's VM to an entry that forwards the request. */
    static final String AGENT_VM = "Sequoia-Agent-Vm";

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final HttpClient mClient;
    private final AgentAddressResolver mAddresses;

    private AttemptBarClient(HttpClient client, AgentAddressResolver addresses) {
        mClient = client;
        mAddresses = addresses;
    }

    /** Returns a client that resolves agents by {@code addresses}. */
    public static AttemptBarClient of(HttpClient client, AgentAddressResolver addresses) {
        return new AttemptBarClient(client, addresses);
    }

    /** Requests the agent on a VM to bar an attempt; fails if no address returns a verdict. */
    public CompletableFuture<BarVerdict> bar(String vm, AttemptTicket ticket) {
        return tryNext(vm, ticket, mAddresses.resolve(vm).iterator());
    }

    /** Bars an attempt for an entry of another data centre; sends to the agent itself only. */
    CompletableFuture<BarVerdict> barInThisDataCentre(String vm, AttemptTicket ticket) {
        return tryNext(
                vm,
                ticket,
                mAddresses.resolve(vm).stream().filter(address -> !address.isEntry()).iterator());
    }

    private CompletableFuture<BarVerdict> tryNext(
            String vm, AttemptTicket ticket, Iterator<Address> addresses) {
        if (!addresses.hasNext()) {
            return CompletableFuture.failedFuture(
                    new IOException("no address returned a verdict for the agent on " + vm));
        }
        return send(addresses.next(), vm, ticket)
                .thenCompose(
                        verdict ->
                                verdict.map(CompletableFuture::completedFuture)
                                        .orElseGet(() -> tryNext(vm, ticket, addresses)));
    }

    private CompletableFuture<Optional<BarVerdict>> send(
            Address address, String vm, AttemptTicket ticket) {
        Request request =
                mClient.POST("http://" + address.hostPort() + BarVerdictCodec.PATH)
                        .headers(headers -> headers.put(AttemptTicket.HEADER, ticket.toString()))
                        .timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        if (address.isEntry()) {
            request.headers(headers -> headers.put(AGENT_VM, vm).put(RequestHeaders.HOP, "bar"));
        }
        CompletableFuture<Optional<BarVerdict>> verdict = new CompletableFuture<>();
        request.send(
                new BufferingResponseListener(BarVerdictCodec.MAX_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        boolean isAnswered =
                                result.isSucceeded() && result.getResponse().getStatus() == OK;
                        verdict.complete(
                                isAnswered
                                        ? BarVerdictCodec.decode(getContent())
                                        : Optional.empty());
                    }
                });
        return verdict;
    }
}
