package org.sequoiahill.daemon.version.fetch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class FetchPlannerTest {
    private static final FetchMember A = new FetchMember("a", "127.0.0.1:1");
    private static final FetchMember B = new FetchMember("b", "127.0.0.1:2");
    private static final FetchMember C = new FetchMember("c", "127.0.0.1:3");
    private static final FetchMember OTHER_DATA_CENTRE = new FetchMember("far", "127.0.0.1:9");
    private static final List<FetchMember> SAME_DATA_CENTRE = List.of(A, B, C);
    private static final FetchLimits LIMITS =
            new FetchLimits(
                    8,
                    2,
                    Duration.ofSeconds(20),
                    Duration.ofSeconds(15),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(60),
                    Duration.ofMillis(200));

    /**
     * Drives a planner of one chunk and records the last step of each call of {@code next}; the
     * rank is a, b, c.
     *
     * <p>A step is recorded as the source of the attempt, with a plus sign if the peer is asked to
     * wait until it holds the chunk, as "lease" for a lease request, or as "-" for no step.
     */
    private static final class Driver {
        private final FetchPlanner mPlanner;
        private final List<String> mSteps = new ArrayList<>();
        private Duration mNow = Duration.ofSeconds(100);
        private FetchAttempt mLast;

        Driver(String ownVm) {
            mPlanner =
                    FetchPlanner.of(
                            List.of("00"),
                            ownVm,
                            SAME_DATA_CENTRE,
                            (d, m) -> m,
                            LIMITS,
                            new Random(1));
            mPlanner.membersChanged(SAME_DATA_CENTRE, List.of(OTHER_DATA_CENTRE));
        }

        Driver next() {
            List<FetchPlanner.Step> steps = mPlanner.next(mNow);
            mSteps.add(steps.isEmpty() ? "-" : name(steps.get(steps.size() - 1)));
            return this;
        }

        Driver fail(AttemptFailure failure) {
            return fail(failure, 0);
        }

        Driver fail(AttemptFailure failure, int retryAfterSeconds) {
            mPlanner.failed(mLast, failure, Duration.ofSeconds(retryAfterSeconds), mNow);
            return after(1).next();
        }

        Driver pending(long progress) {
            mPlanner.pending(mLast, progress, mNow);
            return after(1).next();
        }

        Driver after(int seconds) {
            mNow = mNow.plusSeconds(seconds);
            return this;
        }

        Driver lease(int chunks) {
            mPlanner.leaseAnswered(chunks, mNow);
            return next();
        }

        Driver redirect(FetchMember holder) {
            mPlanner.redirected(mLast, List.of(holder.address()));
            return next();
        }

        private String name(FetchPlanner.Step step) {
            if (step instanceof FetchPlanner.Step.RequestLease) {
                return "lease";
            }
            mLast = ((FetchPlanner.Step.StartAttempt) step).attempt();
            if (mLast.source() instanceof Source.Peer peer) {
                return peer.member().vm() + (peer.canWait() ? "+" : "");
            }
            return "origin";
        }
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("owner responds", agent("c").next(), "a+"),
                Arguments.of("requested only once", agent("c").next().next(), "a+ -"),
                Arguments.of(
                        "owner unreachable",
                        agent("c").next().fail(AttemptFailure.UNREACHABLE),
                        "a+ b+"),
                Arguments.of(
                        "owner times out", agent("c").next().fail(AttemptFailure.SILENT), "a+ b+"),
                Arguments.of(
                        "owner sends corrupt bytes",
                        agent("c").next().fail(AttemptFailure.WRONG),
                        "a+ b+"),
                Arguments.of(
                        "owner that sent corrupt bytes is asked again only after its backoff",
                        agent("c")
                                .next()
                                .fail(AttemptFailure.WRONG)
                                .pending(0)
                                .after(30)
                                .pending(0)
                                .after(40)
                                .next(),
                        "a+ b+ b+ lease a+"),
                Arguments.of(
                        "owner slow but responding",
                        agent("c").next().pending(0).pending(0),
                        "a+ a+ a+"),
                Arguments.of(
                        "owner responds without progress",
                        agent("c").next().pending(0).after(20).pending(0),
                        "a+ a+ b+"),
                Arguments.of(
                        "owner with progress is waited for, however long",
                        agent("c").next().pending(0).after(20).pending(1).after(20).pending(2),
                        "a+ a+ a+ a+"),
                Arguments.of(
                        "owner sends slowly: a second attempt",
                        agent("c").next().after(15).next(),
                        "a+ b+"),
                Arguments.of("owner redirects to a holder", agent("c").next().redirect(B), "a+ b+"),
                Arguments.of(
                        "all agents before it in rank unreachable: the origin with a lease",
                        agent("c")
                                .next()
                                .fail(AttemptFailure.UNREACHABLE)
                                .fail(AttemptFailure.UNREACHABLE)
                                .lease(1),
                        "a+ b+ lease origin"),
                Arguments.of(
                        "all agents before it in rank failed and no lease: another data centre",
                        agent("c")
                                .next()
                                .fail(AttemptFailure.UNREACHABLE)
                                .fail(AttemptFailure.SILENT)
                                .lease(0)
                                .fail(AttemptFailure.UNREACHABLE),
                        "a+ b+ lease far -"));
    }

    static Stream<Arguments> originFaults() {
        return Stream.of(
                Arguments.of(
                        "the owner asks the next in rank first",
                        agent("a").next().pending(0),
                        "b origin"),
                Arguments.of(
                        "429: waits for the requested delay plus jitter",
                        owner().fail(AttemptFailure.THROTTLED, 5).after(4).next().after(3).next(),
                        "b origin - - origin"),
                Arguments.of(
                        "corrupt bytes: a second fetch needs a lease",
                        owner().fail(AttemptFailure.WRONG).lease(1),
                        "b origin lease origin"),
                Arguments.of(
                        "truncated bytes and no lease: another data centre",
                        owner().fail(AttemptFailure.WRONG).lease(0),
                        "b origin lease far"),
                Arguments.of(
                        "origin unreachable: the next in rank may reach it",
                        owner().fail(AttemptFailure.UNREACHABLE),
                        "b origin c+"),
                Arguments.of(
                        "origin times out", owner().fail(AttemptFailure.SILENT), "b origin c+"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({"faults", "originFaults"})
    void next_afterFault_choosesSource(String fault, Driver driver, String expected) {
        assertThat(String.join(" ", driver.mSteps), is(expected));
    }

    @Test
    void succeeded_lastChunk_isComplete() {
        Driver driver = agent("c").next();
        driver.mPlanner.succeeded(driver.mLast);
        assertThat(driver.mPlanner.isComplete(), is(true));
        assertThat(driver.mPlanner.next(driver.mNow), is(List.of()));
    }

    @Test
    void membersChanged_ownerLeft_nextInRankIsAsked() {
        Driver driver = agent("c").next();
        driver.mPlanner.membersChanged(List.of(B, C), List.of());
        driver.fail(AttemptFailure.UNREACHABLE);
        assertThat(driver.mSteps, is(List.of("a+", "b+")));
    }

    @Test
    void rendezvous_memberLeaves_movesOnlyItsChunks() {
        Random random = new Random(3);
        for (int i = 0; i < 100; i++) {
            String digest = String.format("%016x", random.nextLong());
            List<FetchMember> all = ChunkRanking.rendezvous().rank(digest, SAME_DATA_CENTRE);
            List<FetchMember> fewer = ChunkRanking.rendezvous().rank(digest, List.of(A, C));
            List<FetchMember> expected = all.stream().filter(member -> !member.equals(B)).toList();
            assertThat(fewer, is(expected));
        }
    }

    private static Driver agent(String ownVm) {
        return new Driver(ownVm);
    }

    /** Returns the owner's driver once the next in rank has replied that it lacks the chunk. */
    private static Driver owner() {
        return agent("a").next().pending(0);
    }
}
