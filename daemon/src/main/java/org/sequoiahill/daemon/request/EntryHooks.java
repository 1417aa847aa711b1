package org.sequoiahill.daemon.request;

import org.sequoiahill.daemon.connection.ExchangeMonitor;

/**
 * Extension points in the processing of a request at an entry.
 *
 * @param quarantine refuses requests that crash endpoints
 * @param runOnce makes requests that must not be repeated run at most once
 * @param relay relays responses to callers
 * @param monitor aborts exchanges whose connections are dead
 */
public record EntryHooks(
        Quarantine quarantine, RunOnce runOnce, StreamRelay relay, ExchangeMonitor monitor) {
    /** Returns hooks that refuse and claim nothing, copy responses and monitor connections. */
    public static EntryHooks none(ExchangeMonitor monitor) {
        return new EntryHooks(Quarantine.none(), RunOnce.none(), StreamRelay.copying(), monitor);
    }
}
