package org.sequoiahill.daemon.request.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.direct.Dispatcher;
import org.sequoiahill.daemon.request.direct.ReportedLoad;
import org.sequoiahill.protocol.gen.EngineLoad;
import org.sequoiahill.protocol.gen.LoadDigest;
import org.sequoiahill.protocol.gen.Loads;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.tinylog.Logger;

/**
 * Receives the loads of engines at an entry, and relays those that this entry collects.
 *
 * <p>Loads reported by agents are relayed to the other entries of this data centre and to the
 * collectors of the other data centres. Loads relayed by a collector of another data centre go to
 * the entries of this data centre only.
 */
public final class LoadRelay implements Loads.Iface {
    /**
     * Time for which loads are collected before they are relayed, per entry of the fleet; bounds
     * the rate of calls.
     */
    private static final Duration COLLECT_TIME_PER_ENTRY = Duration.ofMillis(1);

    private static final Duration MAX_COLLECT_TIME = Duration.ofMillis(150);

    private final Object mLock = new Object();
    private final Identity mSelf;
    private final Supplier<FleetSnapshot> mSnapshot;
    private final Dispatcher mDispatcher;
    private final Sender mSender;
    private final DelayedExecutor mRunner;
    private final MonotonicClock mClock;
    private final LoadOutbox mOutbox = new LoadOutbox();

    /** VMs of peers and names of other data centres with a call in progress. */
    private final Set<String> mReceiversInFlight = new HashSet<>();

    private final Map<String, Integer> mFailures = new HashMap<>();
    private boolean mIsFlushScheduled;

    private LoadRelay(
            Identity self,
            Supplier<FleetSnapshot> snapshot,
            Dispatcher dispatcher,
            Sender sender,
            DelayedExecutor runner,
            MonotonicClock clock) {
        mSelf = self;
        mSnapshot = snapshot;
        mDispatcher = dispatcher;
        mSender = sender;
        mRunner = runner;
        mClock = clock;
    }

    /** Returns the relay of one entry. */
    public static LoadRelay of(
            Identity self,
            Supplier<FleetSnapshot> snapshot,
            Dispatcher dispatcher,
            Sender sender,
            DelayedExecutor runner,
            MonotonicClock clock) {
        return new LoadRelay(self, snapshot, dispatcher, sender, runner, clock);
    }

    /** Sends loads to another entry. */
    @FunctionalInterface
    public interface Sender {
        /** Sends loads; returns a future that fails if the entry can't be reached. */
        CompletableFuture<?> send(HostPort entry, LoadDigest digest);
    }

    @Override
    public void told(EngineLoad load) {
        acceptLoads(List.of(load), true, true);
    }

    @Override
    public void passedOn(LoadDigest digest) {
        boolean isFromOtherDataCentre = !digest.getDataCentre().equals(mSelf.dataCentre());
        acceptLoads(digest.getLoads(), isFromOtherDataCentre, false);
    }

    private void acceptLoads(List<EngineLoad> loads, boolean shouldRelay, boolean isFromAgent) {
        Duration now = mClock.now();
        mDispatcher.updateLoads(loads.stream().map(load -> reportedLoad(now, load)).toList());
        if (!shouldRelay) {
            return;
        }
        synchronized (mLock) {
            loads.forEach(load -> mOutbox.put(load, isFromAgent, now));
            scheduleFlush();
        }
    }

    private static ReportedLoad reportedLoad(Duration now, EngineLoad load) {
        return new ReportedLoad(
                HostPort.parse(load.getEndpoint()),
                load.getRunning() + load.getWaiting(),
                now.minusMillis(load.getAgeMillis()));
    }

    private void scheduleFlush() {
        if (mIsFlushScheduled) {
            return;
        }
        mIsFlushScheduled = true;
        int entries = mSnapshot.get().participants(ParticipantRole.ENTRY).size();
        Duration collectTime = COLLECT_TIME_PER_ENTRY.multipliedBy(entries);
        mRunner.runAfter(
                collectTime.compareTo(MAX_COLLECT_TIME) < 0 ? collectTime : MAX_COLLECT_TIME,
                this::flush);
    }

    private void flush() {
        LoadRelayTopology topology =
                LoadRelayTopology.among(mSnapshot.get().participants(ParticipantRole.ENTRY));
        Duration now = mClock.now();
        synchronized (mLock) {
            mIsFlushScheduled = false;
            mOutbox.evictExpired(now);
            Set<String> receivers = new HashSet<>();
            for (Participant entry : topology.peersIn(mSelf.vm(), mSelf.dataCentre())) {
                receivers.add(entry.getVm());
                send(entry.getVm(), entry, false, now);
            }
            for (String dataCentre : topology.otherDataCentres(mSelf.dataCentre())) {
                receivers.add(dataCentre);
                topology.collector(dataCentre, mFailures.getOrDefault(dataCentre, 0))
                        .ifPresent(entry -> send(dataCentre, entry, true, now));
            }
            mOutbox.retainReceivers(receivers);
        }
    }

    private void send(String receiver, Participant entry, boolean agentLoadsOnly, Duration now) {
        if (mReceiversInFlight.contains(receiver)) {
            return;
        }
        List<EngineLoad> loads = mOutbox.takeUnsent(receiver, agentLoadsOnly, now);
        if (loads.isEmpty()) {
            return;
        }
        mReceiversInFlight.add(receiver);
        HostPort address = HostPort.parse(entry.getControl());
        mSender.send(address, new LoadDigest(mSelf.dataCentre(), loads))
                .whenComplete((ignored, failure) -> onSent(receiver, address, failure));
    }

    private void onSent(String receiver, HostPort address, @Nullable Throwable failure) {
        synchronized (mLock) {
            mReceiversInFlight.remove(receiver);
            if (failure != null) {
                mFailures.merge(receiver, 1, Integer::sum);
            }
        }
        if (failure != null) {
            Logger.debug("can't relay loads to {}: {}", address, failure.toString());
        }
    }
}
