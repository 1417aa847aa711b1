package org.sequoiahill.daemon.process.fleet;

import java.util.function.Consumer;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.sequoiahill.daemon.process.log.StateMachine;
import org.sequoiahill.protocol.gen.FleetChange;
import org.sequoiahill.protocol.gen.FleetContent;

/**
 * Makes the fleet's state from the log.
 *
 * <p>The routing table with the highest number and the highest version of each model stay, so a
 * change that comes late or twice does no harm.
 */
public final class FleetMachine implements StateMachine {
    private final Consumer<FleetState> mListener;
    private volatile FleetState mState = FleetState.EMPTY;

    private FleetMachine(Consumer<FleetState> listener) {
        mListener = listener;
    }

    /** Returns an empty machine that tells each new state to a listener. */
    public static FleetMachine of(Consumer<FleetState> listener) {
        return new FleetMachine(listener);
    }

    /** Returns the state after the last applied change. */
    public FleetState state() {
        return mState;
    }

    /** Returns the payload of a change. */
    public static byte[] encode(FleetChange change) {
        return write(change);
    }

    @Override
    public void apply(long index, byte[] payload) {
        FleetChange change = new FleetChange();
        read(change, payload);
        if (!mState.covers(change)) {
            become(mState.with(index, change));
        }
    }

    @Override
    public byte[] snapshot() {
        return write(mState.toThrift(true));
    }

    @Override
    public void restore(byte[] snapshot) {
        FleetContent content = new FleetContent();
        read(content, snapshot);
        become(FleetState.fromThrift(content));
    }

    private void become(FleetState state) {
        mState = state;
        mListener.accept(state);
    }

    private static byte[] write(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw new IllegalStateException("a struct held in memory can be written", e);
        }
    }

    private static void read(TBase<?, ?> struct, byte[] bytes) {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
        } catch (TException e) {
            throw new IllegalStateException("a record of the fleet's log can't be read", e);
        }
    }
}
