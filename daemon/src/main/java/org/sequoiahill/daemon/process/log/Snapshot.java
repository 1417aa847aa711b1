package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;

/**
 * State of the machine after an entry, and the members then.
 *
 * @param index index of the last entry that the state holds
 * @param term term of that entry
 * @param members members at that entry
 * @param data state of the machine; its position must not be moved; empty for the founding
 */
public record Snapshot(long index, long term, Membership members, ByteBuffer data) {
    /** Index of the snapshot that a founded group begins with. */
    public static final long BOOTSTRAP_INDEX = 1;

    /** Term of the snapshot that a founded group begins with. */
    public static final long BOOTSTRAP_TERM = 1;

    /** What a store holds that has joined no group. */
    public static final Snapshot NONE = new Snapshot(0, 0, Membership.NONE, ByteBuffer.allocate(0));

    /** Returns the snapshot that a founded group begins with. */
    public static Snapshot bootstrap(Membership members) {
        return new Snapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, members, ByteBuffer.allocate(0));
    }
}
