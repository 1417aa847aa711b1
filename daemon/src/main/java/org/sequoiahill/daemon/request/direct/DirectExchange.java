package org.sequoiahill.daemon.request.direct;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.connection.ConnectionKind;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Refusal;

/**
 * One caller's request at an entry, from its place in the queue to the end of its answer.
 *
 * <p>All steps run one after another in an invoker, so that callbacks of the caller's connection,
 * the endpoint's connection and the dispatcher need no lock among each other.
 */
final class DirectExchange implements Ticket, Sending.Events, StreamRelay.Exchange {
    /** Largest answer that is held until it is whole, in bytes. */
    private static final int MAX_ANSWER_BYTES = 4 << 20;

    /** Least time left that makes another sending worth its while. */
    private static final Duration LEAST_TIME_LEFT = Duration.ofMillis(150);

    /** Time by which a sending outlives the exchange, so that the exchange ends first. */
    private static final Duration SENDING_SLACK = Duration.ofMillis(500);

    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERRORS = 500;
    private static final Set<Integer> STATUSES_OF_UNRUN = Set.of(408, 429, 503);

    private final DirectServices mServices;
    private final DirectRequest mRequest;
    private final Request mCallerRequest;
    private final CallerReply mReply;
    private final SerializedInvoker mInvoker = new SerializedInvoker();
    private final StreamRelay mStream;
    private final Set<String> mTried = new HashSet<>();
    private final Map<HostPort, Integer> mSendingsByAddress = new HashMap<>();
    private final RequestTimes mTimes;
    private @Nullable Sending mCurrent;
    private Duration mGiveUpAt;
    private OptionalLong mVersion = OptionalLong.empty();
    private int mSendings;
    private int mRuns;

    DirectExchange(
            DirectServices services,
            DirectRequest request,
            Request callerRequest,
            org.eclipse.jetty.server.Response response,
            Callback callback,
            Duration arrivedAt) {
        mServices = services;
        mRequest = request;
        mCallerRequest = callerRequest;
        mReply = new CallerReply(services, request, response, callback, arrivedAt);
        mStream = StreamRelay.of(response, mInvoker, this);
        mTimes = RequestTimes.of(arrivedAt, request.route(), request.caller().patience());
        mGiveUpAt = mTimes.firstGiveUpAt(request.route().latencyTarget());
    }

    /** Starts the exchange. */
    void start() {
        mInvoker.run(
                () -> {
                    mServices.exchanges().begin(this);
                    mReply.watch(mCallerRequest, () -> mInvoker.run(this::callerGone));
                    mServices.repeats().noteFirst(service());
                    mServices.dispatcher().submit(this);
                });
    }

    /** Looks for what is overdue. */
    void check() {
        mInvoker.run(this::endOverdue);
    }

    @Override
    public String service() {
        return mRequest.service();
    }

    @Override
    public String model() {
        return mRequest.caller().prompt().map(CallerRequest.Prompt::model).orElse("");
    }

    @Override
    public OptionalLong version() {
        return mVersion;
    }

    @Override
    public int priority() {
        return mRequest.priority();
    }

    @Override
    public boolean isLate() {
        return mTimes.isLate();
    }

    @Override
    public Duration giveUpAt() {
        return mGiveUpAt;
    }

    @Override
    public int promptTokens() {
        return mRequest.caller().prompt().map(CallerRequest.Prompt::promptTokens).orElse(0);
    }

    @Override
    public Duration answerTarget() {
        return mRequest.route().latencyTarget();
    }

    @Override
    public boolean allows(String region) {
        return mRequest.allows(region);
    }

    @Override
    public Set<String> tried() {
        return mTried;
    }

    @Override
    public boolean isAbandoned() {
        return mReply.isDone();
    }

    @Override
    public void granted(Place place) {
        mInvoker.run(() -> send(place));
    }

    @Override
    public void refused(Refused refused) {
        mInvoker.run(() -> noPlace(refused));
    }

    @Override
    public void answered(Sending sending, Response answer, Content.Source content) {
        mInvoker.run(() -> takeHead(sending, answer, content));
    }

    @Override
    public void failed(Sending sending, Throwable failure, boolean isUnsent) {
        mInvoker.run(
                () -> {
                    Place.End end = isUnsent ? Place.End.UNREACHABLE : Place.End.FAILED;
                    RepeatRule.Cause cause =
                            isUnsent ? RepeatRule.Cause.UNSENT : RepeatRule.Cause.LOST;
                    if (release(sending, end, failure.getClass().getSimpleName())) {
                        follow(cause, null);
                    }
                });
    }

    @Override
    public void broken(Sending sending, Throwable failure) {
        mInvoker.run(
                () -> {
                    if (isCurrent(sending)) {
                        lose(sending, "broken_" + failure.getClass().getSimpleName());
                    }
                });
    }

    private void send(Place place) {
        Duration now = mServices.clock().now();
        if (mReply.isDone()) {
            place.ended(Place.End.CANCELLED);
            return;
        }
        if (mSendings == 0) {
            mReply.queued(now.minus(mTimes.arrivedAt()));
        }
        mSendings++;
        mTried.add(place.endpoint().id());
        HostPort address = place.endpoint().address();
        int sendingThere = mSendingsByAddress.merge(address, 1, Integer::sum);
        Sending sending = new Sending(place, now, this);
        mCurrent = sending;
        Duration timeLeft = mTimes.deadline().minus(now);
        Dispatch dispatch =
                new Dispatch(
                        place.endpoint().id(),
                        mRequest.organisation().map(Organisation::name),
                        timeLeft,
                        mStream.lastId().or(() -> mRequest.caller().lastEventId()),
                        place.version(),
                        OptionalInt.of(priority()));
        HttpForwarder.Call call =
                new HttpForwarder.Call(
                        mRequest.method(),
                        URI.create("http://" + address + mRequest.pathAndQuery()),
                        mServices.dialect().outgoing(mRequest.headers(), dispatch),
                        mRequest.body(),
                        timeLeft.plus(SENDING_SLACK),
                        Optional.of(mRequest.host()),
                        new ConnectionKind(!mRequest.route().isRetryable(), sendingThere));
        sending.begun(mServices.forwarder().send(call, sending));
    }

    private void noPlace(Refused refused) {
        if (mReply.isDone()) {
            return;
        }
        String message = "no endpoint can take the request now";
        if (mStream.hasBegun()) {
            cutOff(refused.reason());
        } else if (mRuns > 0) {
            refuse(Refusal.outcomeUnknown("the endpoint gave no answer"));
        } else {
            refuse(Refusal.overloaded(refused.reason(), message, refused.retryAfter()));
        }
    }

    private void takeHead(Sending sending, Response response, Content.Source content) {
        if (mReply.isDone() || sending != mCurrent) {
            content.fail(new IOException("the answer is no longer wanted"));
            return;
        }
        EndpointAnswer answer =
                mServices.dialect().answer(response.getStatus(), response.getHeaders());
        sending.headCame(content, mServices.clock().now());
        boolean isUnrun = answer.isNotRun() || answer.status() == MISDIRECTED;
        boolean isOurs = answer.requestId().equals(mRequest.caller().id());
        boolean mayLackId = answer.requestId().isEmpty() && sending.isFirstOnItsConnection();
        if (!isOurs && !(isUnrun && mayLackId)) {
            lose(sending, "foreign_answer");
            return;
        }
        sending.place().answered(answer);
        if (isUnrun) {
            turnedAway(sending, answer, content);
        } else if (!answer.isSealed()) {
            lose(sending, "unsealed_" + answer.status());
        } else if (answer.isSuccess() && answer.isStream()) {
            mStream.pump(sending, response, content);
        } else if (mStream.hasBegun()) {
            // Only more events of the stream can follow what the caller has got of it.
            lose(sending, "no_stream_" + answer.status());
        } else {
            BodyReader.read(content, MAX_ANSWER_BYTES, mServices.answerBytes())
                    .whenComplete(
                            (body, failure) ->
                                    mInvoker.run(() -> takeWhole(sending, response, answer, body)));
        }
    }

    private void turnedAway(Sending sending, EndpointAnswer answer, Content.Source content) {
        Content.Source.consumeAll(content, Callback.NOOP);
        boolean isOther =
                answer.status() == MISDIRECTED
                        && !answer.endpointId()
                                .equals(Optional.of(sending.place().endpoint().id()));
        Place.End end = isOther ? Place.End.MISDIRECTED : Place.End.TURNED_AWAY;
        if (release(sending, end, "not_run_" + answer.status())) {
            follow(RepeatRule.Cause.NOT_RUN, null);
        }
    }

    private void takeWhole(
            Sending sending, Response response, EndpointAnswer answer, byte @Nullable [] body) {
        if (body == null) {
            lose(sending, "cut_" + answer.status());
            return;
        }
        boolean isFailure = answer.status() >= SERVER_ERRORS;
        Place.End end = isFailure ? Place.End.FAILED : Place.End.SUCCEEDED;
        if (!release(sending, end, "status_" + answer.status())) {
            return;
        }
        if (!isFailure) {
            passOn(sending, response, body);
        } else {
            follow(RepeatRule.Cause.FAILED, () -> passOnFailure(sending, response, answer, body));
        }
    }

    @Override
    public boolean isCurrent(Sending sending) {
        return sending == mCurrent && !mReply.isDone();
    }

    @Override
    public void heard(Sending sending) {
        sending.heard(mServices.clock().now());
    }

    @Override
    public void streamBegins(Sending sending, Response head) {
        mReply.takeHead(sending, head);
        pinVersion(sending);
    }

    @Override
    public boolean streamEnded(Sending sending, int events) {
        return release(sending, Place.End.SUCCEEDED, "events_" + events);
    }

    @Override
    public void streamCut(Sending sending, int events) {
        lose(sending, "cut_stream_" + events);
    }

    @Override
    public Callback answerEnding() {
        mServices.exchanges().end(this);
        return mReply.endStream();
    }

    private void pinVersion(Sending sending) {
        Long version = sending.place().endpoint().versions().get(model());
        if (mVersion.isEmpty() && version != null) {
            mVersion = OptionalLong.of(version);
        }
    }

    /** Ends a sending that brought no answer of its own. */
    private void lose(Sending sending, String why) {
        if (release(sending, Place.End.FAILED, why)) {
            sending.cancel(new IOException(why));
            follow(RepeatRule.Cause.LOST, null);
        }
    }

    /** Ends a sending for this exchange; returns whether it was the current one. */
    private boolean release(Sending sending, Place.End end, String what) {
        sending.place().ended(end);
        if (mReply.isDone() || sending != mCurrent) {
            return false;
        }
        mCurrent = null;
        mStream.dropPartial();
        mReply.trace(sending, what);
        return true;
    }

    private void follow(RepeatRule.Cause cause, @Nullable Runnable passOn) {
        if (cause == RepeatRule.Cause.LOST || cause == RepeatRule.Cause.FAILED) {
            mRuns++;
        }
        Duration now = mServices.clock().now();
        boolean isTimeLeft = mTimes.deadline().minus(now).compareTo(LEAST_TIME_LEFT) > 0;
        RepeatRule.Decision decision =
                RepeatRule.decide(cause, mRequest.route(), mSendings, mRuns, isTimeLeft);
        if (decision == RepeatRule.Decision.REPEAT_IN_BUDGET
                && !mServices.repeats().take(service(), cause)) {
            mReply.trace("no_budget");
            decision = RepeatRule.otherwise(cause, mRuns);
        }
        if (decision == RepeatRule.Decision.REPEAT) {
            mServices.repeats().noteUnbudgeted(cause);
        }
        switch (decision) {
            case REPEAT, REPEAT_IN_BUDGET -> {
                mGiveUpAt = mTimes.repeatGiveUpAt(now);
                mServices.dispatcher().submit(this);
            }
            case PASS_ON -> {
                if (passOn == null || mStream.hasBegun()) {
                    cutOff("broken");
                } else {
                    passOn.run();
                }
            }
            case REFUSE, UNKNOWN -> {
                if (mStream.hasBegun()) {
                    cutOff("broken");
                } else if (decision == RepeatRule.Decision.UNKNOWN) {
                    refuse(Refusal.outcomeUnknown("the endpoint gave no whole answer"));
                } else {
                    refuse(
                            Refusal.overloaded(
                                    "not_run",
                                    "no endpoint ran the request",
                                    Duration.ofMillis(LEAST_TIME_LEFT.toMillis())));
                }
            }
            default -> throw new IllegalStateException("unknown decision " + decision);
        }
    }

    private void passOn(Sending sending, Response response, byte[] body) {
        mServices.exchanges().end(this);
        mReply.passOn(sending, response, body);
    }

    /** Passes an endpoint's failure on, unless its status would deny that the request ran. */
    private void passOnFailure(
            Sending sending, Response response, EndpointAnswer answer, byte[] body) {
        if (STATUSES_OF_UNRUN.contains(answer.status())) {
            refuse(Refusal.outcomeUnknown("the endpoint failed with " + answer.status()));
        } else {
            passOn(sending, response, body);
        }
    }

    private void refuse(Refusal refusal) {
        mServices.exchanges().end(this);
        mReply.refuse(refusal);
    }

    private void cutOff(String why) {
        mServices.exchanges().end(this);
        mReply.cutOff(why);
    }

    @Override
    public void callerGone() {
        if (mReply.isDone()) {
            return;
        }
        cancelCurrent("caller_gone");
        mServices.exchanges().end(this);
        mReply.gone();
    }

    private void endOverdue() {
        if (mReply.isDone()) {
            return;
        }
        Duration now = mServices.clock().now();
        if (now.compareTo(mTimes.deadline()) >= 0) {
            timeOut();
            return;
        }
        Sending sending = mCurrent;
        if (sending == null) {
            return;
        }
        if (isSilent(sending, now)) {
            lose(sending, "silent");
        } else if (!sending.hasHead()
                && mServices.dispatcher().isOutdated(this, sending.place().endpoint())) {
            lose(sending, "outdated");
        }
    }

    private boolean isSilent(Sending sending, Duration now) {
        return !mStream.isPaused()
                && SilenceRule.isOver(
                        mRequest.route(), mRuns, sending.heardAt(), mTimes.deadline(), now);
    }

    private void timeOut() {
        boolean mayHaveRun = mRuns > 0 || mCurrent != null;
        cancelCurrent("timeout");
        if (mStream.hasBegun()) {
            cutOff("timeout");
        } else if (mayHaveRun) {
            refuse(new Refusal(504, "timeout", "no answer in time", false, Duration.ZERO));
        } else {
            refuse(Refusal.overloaded("timeout", "no place in time", Duration.ZERO));
        }
    }

    private void cancelCurrent(String why) {
        Sending sending = mCurrent;
        if (sending != null) {
            mCurrent = null;
            mReply.trace(sending, why);
            sending.place().ended(Place.End.CANCELLED);
            sending.cancel(new IOException(why));
        }
    }
}
