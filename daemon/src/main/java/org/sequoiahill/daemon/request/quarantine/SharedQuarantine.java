package org.sequoiahill.daemon.request.quarantine;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.request.Attempt;
import org.sequoiahill.daemon.request.EndpointLostException;
import org.sequoiahill.daemon.request.Outcome;
import org.sequoiahill.daemon.request.Quarantine;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RoutedRequest;
import org.sequoiahill.daemon.request.once.ClaimBasedRunOnce;
import org.sequoiahill.daemon.request.quarantine.SuspectTable.Suspect;
import org.sequoiahill.daemon.request.stream.EndpointBrokeException;
import org.sequoiahill.protocol.document.ServiceDocument.Kind;
import org.sequoiahill.protocol.weights.Digests;
import org.tinylog.Logger;

/**
 * Records requests as suspects if their endpoint dies, notifies peers, and refuses requests that
 * reach the number of deaths for quarantine.
 */
public final class SharedQuarantine implements Quarantine {
    private static final int STATUS = 422;

    private final SuspectTable mTable;
    private final RandomGenerator mRandom;
    private final Consumer<Suspect> mNotifyPeers;
    private final MeterRegistry mMetrics;

    private SharedQuarantine(
            SuspectTable table,
            RandomGenerator random,
            Consumer<Suspect> notifyPeers,
            MeterRegistry metrics) {
        mTable = table;
        mRandom = random;
        mNotifyPeers = notifyPeers;
        mMetrics = metrics;
    }

    /**
     * Returns the quarantine of an entry.
     *
     * @param table suspects that this entry knows
     * @param random generates the ids of deaths
     * @param notifyPeers notifies the other entries of a death that this one has observed
     * @param metrics counts deaths and refusals
     */
    public static SharedQuarantine of(
            SuspectTable table,
            RandomGenerator random,
            Consumer<Suspect> notifyPeers,
            MeterRegistry metrics) {
        return new SharedQuarantine(table, random, notifyPeers, metrics);
    }

    @Override
    public Optional<Refusal> check(RoutedRequest request) {
        Optional<Duration> remaining = mTable.remainingQuarantine(fingerprintOf(request));
        remaining.ifPresent(
                remainingTime -> mMetrics.counter("sequoia_quarantine_refused").increment());
        return remaining.map(
                remainingTime ->
                        new Refusal(
                                STATUS,
                                "quarantined",
                                "endpoints died while this request ran on them",
                                true,
                                remainingTime));
    }

    @Override
    public boolean mustRunAlone(RoutedRequest request) {
        return mTable.isSuspect(fingerprintOf(request));
    }

    @Override
    public void attemptEnded(RoutedRequest request, Attempt attempt, Outcome outcome) {
        if (outcome instanceof Outcome.Unknown unknown
                && isDeath(unknown.cause())
                && !attempt.isRemote()) {
            recordDeath(request);
        }
    }

    @Override
    public void responseBroken(RoutedRequest request, Attempt attempt, Throwable cause) {
        if (cause instanceof EndpointBrokeException && !attempt.isRemote()) {
            recordDeath(request);
        }
    }

    /**
     * Returns whether the endpoint has died. A timeout, a lost connection or a response with the id
     * of another request does not count.
     */
    private static boolean isDeath(Throwable cause) {
        return cause instanceof EOFException
                || cause instanceof ClosedChannelException
                || (cause instanceof EndpointLostException lost && lost.hasDied());
    }

    private void recordDeath(RoutedRequest request) {
        Suspect suspect =
                new Suspect(fingerprintOf(request), Set.of(mRandom.nextLong()), Duration.ZERO);
        mMetrics.counter("sequoia_quarantine_deaths").increment();
        Logger.warn(
                "a request of organisation {} was in flight when its endpoint died",
                request.organisation().name());
        mTable.add(suspect);
        mNotifyPeers.accept(suspect);
    }

    /**
     * Returns the digest of organisation, method, path with query, and body, which is equal for a
     * resend.
     *
     * <p>For a plain service it also covers the idempotency key: equal bodies with different keys
     * are different requests there, and a request with a key whose outcome was lost never runs
     * again.
     */
    static ByteBuffer fingerprintOf(RoutedRequest request) {
        MessageDigest digest = Digests.sha256();
        String head =
                String.join(
                        "\n",
                        request.organisation().name(),
                        request.method(),
                        request.pathQuery(),
                        keyOf(request));
        digest.update(head.getBytes(StandardCharsets.UTF_8));
        digest.update(request.body().slice());
        return ByteBuffer.wrap(digest.digest()).asReadOnlyBuffer();
    }

    private static String keyOf(RoutedRequest request) {
        String key = request.headers().get(ClaimBasedRunOnce.IDEMPOTENCY_KEY);
        return request.service().kind() == Kind.PLAIN && key != null ? key + "\n" : "";
    }
}
