package org.sequoiahill.daemon.process.control;

import java.util.concurrent.atomic.AtomicLong;
import org.sequoiahill.protocol.gen.Sender;

/** Identity of this process, as sent in every control message. */
public final class Identity {
    /** Version of the protocol between the system's own processes. */
    public static final int PROTOCOL_VERSION = 1;

    private final String mVm;
    private final String mDataCentre;
    private final long mIncarnation;
    private final AtomicLong mConfigRevision = new AtomicLong();

    private Identity(String vm, String dataCentre, long incarnation) {
        mVm = vm;
        mDataCentre = dataCentre;
        mIncarnation = incarnation;
    }

    /** Returns the identity of a process; the incarnation must increase with each start. */
    public static Identity of(String vm, String dataCentre, long incarnation) {
        return new Identity(vm, dataCentre, incarnation);
    }

    /** Returns the name of the VM. */
    public String vm() {
        return mVm;
    }

    /** Returns the data centre of the VM. */
    public String dataCentre() {
        return mDataCentre;
    }

    /** Returns the number that increases with each start of the process. */
    public long incarnation() {
        return mIncarnation;
    }

    /**
     * Records that this process holds a configuration revision; messages carry the highest one
     * recorded.
     */
    public void raiseConfigRevision(long revision) {
        mConfigRevision.accumulateAndGet(revision, Math::max);
    }

    /** Returns the sender for a message that is sent now. */
    public Sender sender() {
        return new Sender(mVm, mDataCentre, mIncarnation, mConfigRevision.get(), PROTOCOL_VERSION);
    }
}
