package org.sequoiahill.daemon.request;

/**
 * What plugs into the life of a request at an entry.
 *
 * @param quarantine keeps requests that crash endpoints away
 * @param runOnce claims and settles calls that may run once
 * @param relay passes answers on
 */
public record EntryHooks(Quarantine quarantine, RunOnce runOnce, StreamRelay relay) {
    /** Returns hooks that let everything pass. */
    public static EntryHooks none() {
        return new EntryHooks(Quarantine.none(), RunOnce.none(), StreamRelay.copying());
    }
}
