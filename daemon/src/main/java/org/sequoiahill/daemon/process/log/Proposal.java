package org.sequoiahill.daemon.process.log;

import java.util.Optional;

/**
 * Result of a proposal at the leader.
 *
 * @param index index of the appended entry
 * @param term term of that entry
 * @param refusal reason why no entry was appended, if so
 */
public record Proposal(long index, long term, Optional<LogFailure.Kind> refusal) {
    static Proposal accepted(Entry entry) {
        return new Proposal(entry.index(), entry.term(), Optional.empty());
    }

    static Proposal refused(LogFailure.Kind kind) {
        return new Proposal(0, 0, Optional.of(kind));
    }
}
