package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;

/** What an entry does next about a call that may run once; each action brings one event. */
public sealed interface RunOnceAction {
    /** Commit a claim for this entry's own attempt. */
    record Claim(ClaimHolder holder) implements RunOnceAction {}

    /** Ask the registry what is recorded. */
    record LookUp() implements RunOnceAction {}

    /** Ask an agent to bar an attempt. */
    record Bar(ClaimHolder holder) implements RunOnceAction {}

    /** Give a claim back whose attempt is barred. */
    record Release(ClaimHolder holder) implements RunOnceAction {}

    /** Record an attempt's answer, or that it can't be known where empty. */
    record Complete(ClaimHolder holder, Optional<RecordedResponse> response)
            implements RunOnceAction {}

    /** Do nothing for a time. */
    record Wait(Duration time) implements RunOnceAction {}

    /** Send the call now; the claim is this entry's own. */
    record Send(ClaimHolder holder) implements RunOnceAction {}

    /** End: give the caller an answer. */
    record Answer(RecordedResponse response, boolean isReplay) implements RunOnceAction {}

    /** End: the attempt has not run and never will; another may be made. */
    record NotRun() implements RunOnceAction {}

    /** End: refuse the caller. */
    record Refuse(RunOnceRefusal refusal) implements RunOnceAction {}
}
