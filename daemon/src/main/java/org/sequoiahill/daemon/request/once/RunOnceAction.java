package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;

/** What an entry does next about a call that may run once; each action brings one event. */
public sealed interface RunOnceAction {
    /** Commit a claim for this entry's own attempt. */
    record Claim(Holder holder) implements RunOnceAction {}

    /** Ask the registry what is recorded. */
    record LookUp() implements RunOnceAction {}

    /** Ask an agent to bar an attempt. */
    record Bar(Holder holder) implements RunOnceAction {}

    /** Give a claim back whose attempt is barred. */
    record Release(Holder holder) implements RunOnceAction {}

    /** Record an attempt's answer, or that it can't be known where empty. */
    record Complete(Holder holder, Optional<RecordedAnswer> answer) implements RunOnceAction {}

    /** Do nothing for a time. */
    record Wait(Duration time) implements RunOnceAction {}

    /** Send the call now; the claim is this entry's own. */
    record Send(Holder holder) implements RunOnceAction {}

    /** End: give the caller an answer. */
    record Answer(RecordedAnswer answer, boolean isReplay) implements RunOnceAction {}

    /** End: the attempt has not run and never will; another may be made. */
    record NotRun() implements RunOnceAction {}

    /** End: refuse the caller. */
    record Refuse(RunOnceRefusal refusal) implements RunOnceAction {}
}
