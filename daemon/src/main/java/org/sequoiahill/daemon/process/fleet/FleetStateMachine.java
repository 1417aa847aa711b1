package org.sequoiahill.daemon.process.fleet;

import java.util.TreeSet;
import java.util.function.Consumer;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.sequoiahill.daemon.process.log.StateMachine;
import org.sequoiahill.protocol.gen.FleetChange;
import org.sequoiahill.protocol.gen.FleetContent;
import org.tinylog.Logger;

/**
 * State machine that builds the fleet's state from the replicated log.
 *
 * <p>It keeps the routing table with the highest number and the highest version of each model, so a
 * late or duplicate table or version has no effect. A change of a data centre names the change that
 * it follows, and has no effect if another one has been made since.
 */
public final class FleetStateMachine implements StateMachine {
    /** Indexes that are remembered; proposers ask right after the change was applied. */
    private static final int MAX_SUPERSEDED = 256;

    private final Consumer<FleetState> mListener;
    private final TreeSet<Long> mSuperseded = new TreeSet<>();

    /**
     * State up to the last applied change; older than the published one while a log is replayed.
     */
    private FleetState mApplied = FleetState.EMPTY;

    private volatile FleetState mPublished = FleetState.EMPTY;

    private FleetStateMachine(Consumer<FleetState> listener) {
        mListener = listener;
    }

    /** Returns an empty state machine that passes each new state to a listener. */
    public static FleetStateMachine of(Consumer<FleetState> listener) {
        return new FleetStateMachine(listener);
    }

    /** Returns the state after the latest change; it never goes back, also during a replay. */
    public FleetState state() {
        return mPublished;
    }

    /** Forgets what was applied, since the log is opened again and will be applied again. */
    public void startReplay() {
        mApplied = FleetState.EMPTY;
    }

    /** Returns the log payload of a change. */
    public static byte[] encode(FleetChange change) {
        return write(change);
    }

    @Override
    public void apply(long index, byte[] payload) {
        FleetChange change = new FleetChange();
        read(change, payload);
        if (mApplied.supersedes(change)) {
            Logger.info(
                    "the change at {} of {} has no effect: it was ordered before the one at {}",
                    index,
                    change.getDataCentre().getDataCentre(),
                    mApplied.lastChangeOf(change.getDataCentre().getDataCentre()));
            recordSuperseded(index);
            return;
        }
        // A repeated change of a data centre is recorded: orders given before it are superseded.
        if (change.isSetDataCentre() || !mApplied.includes(change)) {
            setState(mApplied.with(index, change));
        }
    }

    /** Returns whether a recently applied change had no effect because of a later one. */
    boolean wasSuperseded(long index) {
        synchronized (mSuperseded) {
            return mSuperseded.contains(index);
        }
    }

    private void recordSuperseded(long index) {
        synchronized (mSuperseded) {
            if (mSuperseded.size() == MAX_SUPERSEDED) {
                mSuperseded.pollFirst();
            }
            mSuperseded.add(index);
        }
    }

    @Override
    public byte[] snapshot() {
        return write(mApplied.toThrift(true));
    }

    @Override
    public void restore(byte[] snapshot) {
        FleetContent content = new FleetContent();
        read(content, snapshot);
        setState(FleetState.fromThrift(content));
    }

    private void setState(FleetState state) {
        mApplied = state;
        if (state.index() > mPublished.index()) {
            mPublished = state;
            mListener.accept(state);
        }
    }

    private static byte[] write(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw new IllegalStateException("a fleet struct can't be serialized", e);
        }
    }

    private static void read(TBase<?, ?> struct, byte[] bytes) {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
        } catch (TException e) {
            throw new IllegalStateException(
                    "a record or snapshot of the fleet log can't be deserialized", e);
        }
    }
}
