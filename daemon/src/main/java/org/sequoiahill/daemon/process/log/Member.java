package org.sequoiahill.daemon.process.log;

/**
 * A member of a group.
 *
 * @param id VM and the incarnation of its storage
 * @param address control address, as {@code host:port}
 * @param isVoter whether the member counts towards a quorum; a learner only receives the log
 */
public record Member(StoreId id, String address, boolean isVoter) {}
