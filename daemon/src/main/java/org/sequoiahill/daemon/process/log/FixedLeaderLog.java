package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.protocol.gen.AppendReply;
import org.sequoiahill.protocol.gen.AppendRequest;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.LogEntry;
import org.tinylog.Logger;

/** A log whose leader is the first store of the settings; an entry is applied once synced. */
public final class FixedLeaderLog implements ReplicatedLog, Log.Iface {
    private static final long TERM = 1;
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(500);

    private final Identity mIdentity;
    private final List<PeerVm> mStores;
    private final ControlClient mClient;
    private final Applier mApplier;
    private final JournalFile mJournal;
    private final List<byte[]> mPayloads = new ArrayList<>();

    private FixedLeaderLog(
            Identity identity,
            List<PeerVm> stores,
            ControlClient client,
            Applier applier,
            Path folder)
            throws IOException {
        mIdentity = identity;
        mStores = stores;
        mClient = client;
        mApplier = applier;
        mJournal = JournalFile.open(folder.resolve("config.log"), mPayloads);
        for (int i = 0; i < mPayloads.size(); i++) {
            mApplier.apply(i + 1, mPayloads.get(i));
        }
    }

    /**
     * Opens the log in a folder and applies what it holds.
     *
     * @throws IOException where the folder can't be read or written
     */
    public static FixedLeaderLog open(
            Identity identity,
            List<PeerVm> stores,
            ControlClient client,
            Applier applier,
            Path folder)
            throws IOException {
        return new FixedLeaderLog(identity, stores, client, applier, folder);
    }

    /** Starts to bring followers up to date. */
    public void start(ScheduledExecutorService scheduler) {
        if (isLeader()) {
            Periodic.every(scheduler, RESEND_INTERVAL, "replicate", this::replicate);
        }
    }

    @Override
    public synchronized CompletableFuture<Long> propose(byte[] payload) {
        long index = append(payload);
        int majority = mStores.size() / 2 + 1;
        CompletableFuture<Long> committed = new CompletableFuture<>();
        List<CompletableFuture<Boolean>> sent = replicate();
        int[] votes = {1};
        for (CompletableFuture<Boolean> reply : sent) {
            reply.thenAccept(
                    isHeld -> {
                        synchronized (votes) {
                            votes[0] += isHeld ? 1 : 0;
                            if (votes[0] >= majority) {
                                committed.complete(index);
                            }
                        }
                    });
        }
        if (votes[0] >= majority) {
            committed.complete(index);
        }
        return committed.orTimeout(2, TimeUnit.SECONDS);
    }

    @Override
    public boolean isLeader() {
        return leaderVm().filter(mIdentity.vm()::equals).isPresent();
    }

    @Override
    public long term() {
        return TERM;
    }

    @Override
    public Optional<String> leaderVm() {
        return mStores.stream().map(PeerVm::vm).findFirst();
    }

    @Override
    public synchronized AppendReply append(AppendRequest request) {
        for (LogEntry entry : request.getEntries()) {
            if (entry.getIndex() == mPayloads.size() + 1) {
                append(entry.getPayload());
            }
        }
        return new AppendReply(mIdentity.sender(), TERM, true, mPayloads.size());
    }

    private long append(byte[] payload) {
        try {
            mJournal.append(List.of(payload));
        } catch (IOException e) {
            throw new IllegalStateException("the journal can't be written", e);
        }
        mPayloads.add(payload);
        mApplier.apply(mPayloads.size(), payload);
        return mPayloads.size();
    }

    private synchronized List<CompletableFuture<Boolean>> replicate() {
        AppendRequest request =
                new AppendRequest(
                        mIdentity.sender(), "config", TERM, 0, TERM, entries(), mPayloads.size());
        long last = mPayloads.size();
        return mStores.stream()
                .filter(store -> !store.vm().equals(mIdentity.vm()))
                .map(store -> send(store, request, last))
                .toList();
    }

    private CompletableFuture<Boolean> send(PeerVm store, AppendRequest request, long last) {
        return mClient.call(store.control(), ServiceStub.LOG, client -> client.append(request))
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                Logger.debug("store {} can't be reached: {}", store.vm(), failure);
                                return false;
                            }
                            return reply.getLastIndex() >= last;
                        });
    }

    private List<LogEntry> entries() {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < mPayloads.size(); i++) {
            entries.add(new LogEntry(i + 1, TERM, ByteBuffer.wrap(mPayloads.get(i))));
        }
        return entries;
    }
}
