package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.tinylog.Logger;

/** The replicated log of one group; one thread drives its core, storage and state machine. */
public final class GroupLog implements ReplicatedLog, AutoCloseable {
    private static final int MAX_QUEUED_EVENTS = 32_768;
    private static final int MAX_EVENTS_PER_STEP = 1_024;
    private static final long MAX_QUEUED_BYTES = 64L << 20;
    private static final int TICKS_PER_HEARTBEAT = 4;

    private final Options mOptions;
    private final StateMachine mStateMachine;
    private final LogStorage mStorage;
    private final LogTransport mTransport;
    private final MonotonicClock mClock;
    private final LogCore mCore;
    private final PendingCalls mPending;
    private final SnapshotPolicy mSnapshotPolicy;
    private final BlockingQueue<GroupEvent> mEvents = new LinkedBlockingQueue<>(MAX_QUEUED_EVENTS);
    private final AtomicLong mQueuedBytes = new AtomicLong();
    private final Thread mThread;
    private volatile GroupStatus mStatus;
    private volatile boolean mIsClosed;
    private boolean mWasLeader;

    private GroupLog(
            Options options,
            StateMachine stateMachine,
            LogStorage storage,
            LogTransport transport,
            MonotonicClock clock,
            RandomGenerator random,
            Executor callbacks) {
        mOptions = options;
        mStateMachine = stateMachine;
        mStorage = storage;
        mTransport = transport;
        mClock = clock;
        mPending = PendingCalls.on(callbacks);
        mSnapshotPolicy = SnapshotPolicy.of(options.snapshotEntries());
        mCore =
                LogCore.open(
                        localStore(options, storage, random),
                        storage.state(),
                        options.timing(),
                        random,
                        clock.now());
        restore(storage.state().snapshot());
        mStatus = GroupStatus.of(mCore, false);
        mTransport.updateAddresses(new Membership(options.seeds()));
        mTransport.updateAddresses(mCore.members());
        mThread = new Thread(this::run, "log-" + options.group());
        mThread.setDaemon(true);
    }

    /**
     * Configuration of a group.
     *
     * @param group name of the group
     * @param address own control address
     * @param seeds stores that bootstrap the group; the first one initiates the bootstrap
     * @param timing heartbeat and election timing
     * @param snapshotEntries number of entries after which a snapshot is made
     * @param mayBootstrap whether this store may bootstrap the group; false if the group exists
     * @param voterPolicy how voters are replaced
     */
    public record Options(
            String group,
            String address,
            List<Member> seeds,
            LogTiming timing,
            int snapshotEntries,
            boolean mayBootstrap,
            VoterPolicy voterPolicy) {
        /** Returns options of a group that may be bootstrapped, under the manual voter policy. */
        public static Options of(
                String group,
                String address,
                List<Member> seeds,
                LogTiming timing,
                int snapshotEntries) {
            return new Options(
                    group, address, seeds, timing, snapshotEntries, true, VoterPolicy.manual());
        }
    }

    /** Returns a log over opened storage; {@link #start} starts its thread. */
    public static GroupLog of(
            Options options,
            StateMachine stateMachine,
            LogStorage storage,
            LogTransport transport,
            MonotonicClock clock,
            RandomGenerator random,
            Executor callbacks) {
        return new GroupLog(options, stateMachine, storage, transport, clock, random, callbacks);
    }

    /** Starts the thread that runs the log. */
    public void start() {
        mThread.start();
    }

    /** Enqueues a message from another store; drops it if the queue is full. */
    void receive(Message message) {
        mEvents.offer(new GroupEvent.Incoming(message));
    }

    @Override
    public CompletableFuture<Long> propose(byte[] payload) {
        if (payload.length > Leadership.MAX_PAYLOAD_BYTES) {
            return failed(LogFailure.Kind.TOO_LARGE);
        }
        if (mQueuedBytes.addAndGet(payload.length) > MAX_QUEUED_BYTES) {
            mQueuedBytes.addAndGet(-payload.length);
            return failed(LogFailure.Kind.BUSY);
        }
        CompletableFuture<Long> done = new CompletableFuture<>();
        if (!mEvents.offer(new GroupEvent.Propose(ByteBuffer.wrap(payload), done))) {
            mQueuedBytes.addAndGet(-payload.length);
            return failed(LogFailure.Kind.BUSY);
        }
        return failIfStopped(done);
    }

    @Override
    public CompletableFuture<Void> confirmLeadership() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        if (!mEvents.offer(new GroupEvent.Read(done))) {
            return failed(LogFailure.Kind.BUSY);
        }
        return failIfStopped(done);
    }

    @Override
    public boolean isLeader() {
        GroupStatus status = mStatus;
        Optional<Duration> lease = status.leaseUntil();
        return status.role() == LogRole.LEADER
                && lease.isPresent()
                && lease.get().compareTo(mClock.now()) > 0;
    }

    @Override
    public long term() {
        return mStatus.term();
    }

    @Override
    public Optional<String> leaderVm() {
        return mStatus.leader().map(StoreId::vm);
    }

    /** Returns the current role of this store. */
    public LogRole role() {
        return mStatus.role();
    }

    /**
     * Returns whether the applied state is at most slightly stale.
     *
     * <p>All entries committed before the current term must be applied, and this store must either
     * lead with a valid lease or have had contact with its leader within the longest election
     * timeout.
     */
    public boolean isCurrent() {
        GroupStatus status = mStatus;
        if (status.role() == LogRole.LEADER) {
            return status.isCaughtUp() && isLeader();
        }
        Duration oldest = mClock.now().minus(mOptions.timing().electionMax());
        return status.isCaughtUp()
                && status.leader().isPresent()
                && status.lastLeaderContact().compareTo(oldest) > 0;
    }

    /** Returns the members known to this store. */
    public Membership members() {
        return mStatus.members();
    }

    /**
     * Adds a VM as a learner, which becomes a voter according to the {@link VoterPolicy}; completes
     * once the addition is committed.
     */
    public CompletableFuture<Long> addMember(String vm, String address) {
        return change(core -> core.addMember(vm, address, mClock.now()));
    }

    /** Removes a VM; completes once the removal is committed. */
    public CompletableFuture<Long> removeMember(String vm) {
        return change(core -> core.removeMember(vm, mClock.now()));
    }

    /** Starts to transfer leadership to a voter; completes with whether a transfer was started. */
    public CompletableFuture<Boolean> transferLeadershipTo(String vm) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (!mEvents.offer(new GroupEvent.TransferLeadership(vm, done))) {
            return failed(LogFailure.Kind.BUSY);
        }
        return failIfStopped(done);
    }

    @Override
    public void close() {
        mIsClosed = true;
        mThread.interrupt();
    }

    /** Waits until the thread has ended after {@link #close} or a failure. */
    public void awaitEnd() throws InterruptedException {
        mThread.join();
    }

    private CompletableFuture<Long> change(Function<LogCore, Proposal> change) {
        CompletableFuture<Long> done = new CompletableFuture<>();
        if (!mEvents.offer(new GroupEvent.ChangeMembers(change, done))) {
            return failed(LogFailure.Kind.BUSY);
        }
        return failIfStopped(done);
    }

    /** Fails a call enqueued after the thread has ended, as nothing else would complete it. */
    private <T> CompletableFuture<T> failIfStopped(CompletableFuture<T> done) {
        if (mStatus.role() == LogRole.STOPPED) {
            done.completeExceptionally(LogFailure.of(LogFailure.Kind.STOPPED));
        }
        return done;
    }

    private static <T> CompletableFuture<T> failed(LogFailure.Kind kind) {
        return CompletableFuture.failedFuture(LogFailure.of(kind));
    }

    private static LocalStore localStore(
            Options options, LogStorage storage, RandomGenerator random) {
        Message.Start start =
                new Message.Start(
                        storage.openCount(),
                        random.nextLong(),
                        storage.state().hardState().term(),
                        storage.state().lastIndex());
        return new LocalStore(
                storage.id(),
                options.address(),
                start,
                options.seeds(),
                options.mayBootstrap(),
                options.voterPolicy());
    }

    private void run() {
        long tickNanos = mOptions.timing().heartbeat().toNanos() / TICKS_PER_HEARTBEAT;
        List<GroupEvent> events = new ArrayList<>();
        try {
            while (!mIsClosed && mCore.role() != LogRole.STOPPED) {
                GroupEvent first = mEvents.poll(tickNanos, TimeUnit.NANOSECONDS);
                if (first != null) {
                    events.add(first);
                    mEvents.drainTo(events, MAX_EVENTS_PER_STEP - 1);
                }
                step(events);
                events.clear();
            }
        } catch (InterruptedException e) {
            Logger.debug("log {} was closed", mOptions.group());
        } catch (IOException | RuntimeException e) {
            Logger.error(e, "log {} failed; this store stops participating", mOptions.group());
        } finally {
            shutDown();
        }
    }

    /** Handles events, and carries out the resulting outputs of the core in their order. */
    private void step(List<GroupEvent> events) throws IOException {
        mCore.tick(mClock.now());
        events.forEach(this::handle);
        Outputs outputs = mCore.drain();
        mStorage.store(outputs);
        boolean isFullyApplied =
                outputs.committed().isEmpty() && outputs.installedSnapshot().isEmpty();
        publishStatus(isFullyApplied);
        mTransport.send(outputs.messages());
        outputs.installedSnapshot().ifPresent(this::restore);
        outputs.committed().forEach(this::apply);
        if (!isFullyApplied) {
            publishStatus(true);
        }
        outputs.readyReads().forEach(mPending::readReady);
        outputs.failedReads().forEach(id -> mPending.readFailed(id, LogFailure.Kind.NOT_LEADER));
        if (mWasLeader && mCore.role() != LogRole.LEADER) {
            mPending.failProposals();
        }
        mWasLeader = mCore.role() == LogRole.LEADER;
        compactIfDue(outputs);
    }

    private void handle(GroupEvent event) {
        Duration now = mClock.now();
        if (event instanceof GroupEvent.Incoming incoming) {
            mCore.receive(incoming.message(), now);
        } else if (event instanceof GroupEvent.Propose propose) {
            mQueuedBytes.addAndGet(-propose.payload().remaining());
            mPending.addProposal(mCore.propose(propose.payload(), now), propose.done());
        } else if (event instanceof GroupEvent.Read read) {
            mCore.requestRead(mPending.addRead(read.done()), now);
        } else if (event instanceof GroupEvent.ChangeMembers change) {
            mPending.addProposal(change.change().apply(mCore), change.done());
        } else if (event instanceof GroupEvent.TransferLeadership transfer) {
            transfer.isStarted().complete(mCore.transferLeadershipTo(transfer.vm(), now));
        }
    }

    /**
     * Publishes the status of this store to other threads.
     *
     * @param isFullyApplied whether the state machine has applied all committed entries
     */
    private void publishStatus(boolean isFullyApplied) {
        GroupStatus before = mStatus;
        GroupStatus after = GroupStatus.of(mCore, isFullyApplied);
        mStatus = after;
        if (!before.members().equals(after.members())) {
            mTransport.updateAddresses(after.members());
            Logger.info(
                    "log {}: the members are now {}", mOptions.group(), after.members().members());
        }
        if (before.role() != after.role() || before.term() != after.term()) {
            Logger.info(
                    "log {}: role {} in term {}, leader {}",
                    mOptions.group(),
                    after.role(),
                    after.term(),
                    after.leader().map(StoreId::vm).orElse("unknown"));
        }
    }

    private void restore(Snapshot snapshot) {
        if (snapshot.data().hasRemaining()) {
            byte[] data = new byte[snapshot.data().remaining()];
            snapshot.data().duplicate().get(data);
            mStateMachine.restore(data);
        }
    }

    private void apply(Entry entry) {
        if (entry.kind() == EntryKind.PAYLOAD) {
            mStateMachine.apply(entry.index(), entry.payloadBytes());
        }
        mPending.committed(entry);
    }

    private void compactIfDue(Outputs outputs) throws IOException {
        if (outputs.committed().isEmpty()
                || !mSnapshotPolicy.isDue(mCore.log(), mCore.log().commitIndex())) {
            return;
        }
        byte[] data = mStateMachine.snapshot();
        if (data.length > SnapshotReceiver.MAX_SNAPSHOT_BYTES) {
            Logger.error(
                    "log {}: not compacted, as its snapshot of {} bytes is too large",
                    mOptions.group(),
                    data.length);
            return;
        }
        long index = mCore.log().commitIndex();
        Snapshot snapshot =
                mCore.compact(index, ByteBuffer.wrap(data), mSnapshotPolicy.retainedEntries());
        mStorage.compact(
                snapshot, mCore.log().baseIndex(), mCore.log().baseTerm(), mCore.log().entries());
    }

    private void shutDown() {
        mCore.stop();
        publishStatus(false);
        mPending.failProposals();
        mPending.failReads();
        List<GroupEvent> remaining = new ArrayList<>();
        mEvents.drainTo(remaining);
        remaining.forEach(this::failAsStopped);
        try {
            mStorage.close();
        } catch (IOException e) {
            Logger.warn(e, "could not close the files of log {}", mOptions.group());
        }
    }

    private void failAsStopped(GroupEvent event) {
        if (event instanceof GroupEvent.Propose propose) {
            mPending.fail(propose.done(), LogFailure.Kind.STOPPED);
        } else if (event instanceof GroupEvent.Read read) {
            mPending.fail(read.done(), LogFailure.Kind.STOPPED);
        } else if (event instanceof GroupEvent.ChangeMembers change) {
            mPending.fail(change.done(), LogFailure.Kind.STOPPED);
        } else if (event instanceof GroupEvent.TransferLeadership transfer) {
            mPending.fail(transfer.isStarted(), LogFailure.Kind.STOPPED);
        }
    }
}
