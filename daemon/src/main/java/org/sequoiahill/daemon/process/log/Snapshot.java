package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;

/**
 * State of the state machine after an entry, and the members as of that entry.
 *
 * @param index index of the last entry that the state includes
 * @param term term of that entry
 * @param members members as of that entry
 * @param data serialised state, whose position readers must not move; empty at bootstrap
 */
public record Snapshot(long index, long term, Membership members, ByteBuffer data) {
    /** Index of the snapshot that a bootstrapped group starts with. */
    public static final long BOOTSTRAP_INDEX = 1;

    /** Term of the snapshot that a bootstrapped group starts with. */
    public static final long BOOTSTRAP_TERM = 1;

    /** Snapshot of a store that has not joined a group. */
    public static final Snapshot NONE = new Snapshot(0, 0, Membership.NONE, ByteBuffer.allocate(0));

    /** Returns the snapshot that a bootstrapped group starts with. */
    public static Snapshot bootstrap(Membership members) {
        return new Snapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, members, ByteBuffer.allocate(0));
    }
}
