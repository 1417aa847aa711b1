package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates a storm of failures at several entries, and checks the limit in every window. */
final class SharedRetryBudgetTest {
    private static final int SECONDS = 60;

    @ParameterizedTest
    @CsvSource({
        // entries, requests per second at all of them together; each request fails
        "1, 50",
        "8, 100",
        "46, 400",
        "8, 5"
    })
    void tryAcquire_stormAtAllEntries_keepsTheSharedLimitInEveryWindow(int entries, int perSecond) {
        Random random = new Random(entries * 31L + perSecond);
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            budgets.add(SharedRetryBudget.of(TestFleet.SETTINGS));
        }
        List<Duration> requests = new ArrayList<>();
        List<Duration> retries = new ArrayList<>();
        for (int i = 0; i < SECONDS * perSecond; i++) {
            Duration now = Duration.ofNanos((long) (i * 1e9 / perSecond));
            SharedRetryBudget budget = budgets.get(random.nextInt(entries));
            budget.onRequest(now);
            requests.add(now);
            if (budget.tryAcquire(now, entries) != SharedRetryBudget.Verdict.DENIED) {
                retries.add(now);
            }
        }
        assertThat(retries.size(), greaterThan(0));
        for (Duration start : retries) {
            Duration end = start.plus(TestFleet.SETTINGS.retryWindow());
            long retriesInWindow = countWithin(retries, start, end);
            long requestsInWindow = countWithin(requests, start, end);
            double limit =
                    TestFleet.SETTINGS.retryRatio() * requestsInWindow
                            + TestFleet.SETTINGS.retrySlack();
            assertThat((double) retriesInWindow, lessThanOrEqualTo(limit));
        }
    }

    private static long countWithin(List<Duration> times, Duration start, Duration end) {
        return times.stream()
                .filter(time -> time.compareTo(start) >= 0 && time.compareTo(end) < 0)
                .count();
    }
}
