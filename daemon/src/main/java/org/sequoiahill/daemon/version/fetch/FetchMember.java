package org.sequoiahill.daemon.version.fetch;

/**
 * An agent that may hold chunks.
 *
 * @param vm name of its VM
 * @param address address at which it serves chunks, as host:port
 */
public record FetchMember(String vm, String address) {}
