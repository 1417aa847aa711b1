package org.sequoiahill.daemon.request;

import org.sequoiahill.daemon.connection.ExchangeMonitor;

/**
 * What plugs into the life of a request at an entry.
 *
 * @param quarantine keeps requests that crash endpoints away
 * @param runOnce claims and settles calls that may run once
 * @param relay passes answers on
 * @param monitor ends exchanges whose connections have gone silent
 */
public record EntryHooks(
        Quarantine quarantine, RunOnce runOnce, StreamRelay relay, ExchangeMonitor monitor) {
    /** Returns hooks that let everything pass but what {@code watch} ends. */
    public static EntryHooks none(ExchangeMonitor watch) {
        return new EntryHooks(Quarantine.none(), RunOnce.none(), StreamRelay.copying(), watch);
    }
}
