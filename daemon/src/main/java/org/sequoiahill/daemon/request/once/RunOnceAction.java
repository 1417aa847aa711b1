package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;

/**
 * What an entry does next for a request that must run at most once. Each action except those that
 * end the processing results in one {@link RunOnceEvent}.
 */
public sealed interface RunOnceAction {
    /** Commit a claim for this entry's attempt. */
    record Claim(ClaimHolder holder) implements RunOnceAction {}

    /** Read the claim's record from the registry. */
    record LookUp() implements RunOnceAction {}

    /** Request an agent to bar an attempt. */
    record Bar(ClaimHolder holder) implements RunOnceAction {}

    /** Release the claim of an attempt that has not run and never will. */
    record Release(ClaimHolder holder) implements RunOnceAction {}

    /** Record an attempt's response; an empty one records that the outcome is unknown. */
    record Complete(ClaimHolder holder, Optional<RecordedResponse> response)
            implements RunOnceAction {}

    /** Wait, then continue with a look-up of the claim. */
    record Wait(Duration time) implements RunOnceAction {}

    /** Send the request now; this entry's attempt holds the claim. */
    record Send(ClaimHolder holder) implements RunOnceAction {}

    /**
     * End: send the caller a response.
     *
     * @param response recorded or received response
     * @param isReplay whether it is the response to another attempt
     */
    record Answer(RecordedResponse response, boolean isReplay) implements RunOnceAction {}

    /** End: the attempt has not run and never will; a retry is possible. */
    record NotRun() implements RunOnceAction {}

    /** End: refuse the request. */
    record Refuse(RunOnceRefusal refusal) implements RunOnceAction {}
}
