package org.sequoiahill.daemon.process.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.controller.SwapLeaseTable.LeaseRequest;
import org.sequoiahill.daemon.process.controller.SwapLeaseTable.Verdict;
import org.sequoiahill.protocol.document.ServiceDocument;

class SwapLeaseTableTest {
    private static final Duration LEASE = Duration.ofSeconds(10);
    private static final Duration START = Duration.ofSeconds(100);
    private static final Duration SETTLED = START.plus(LEASE);
    private static final String STATED = "a".repeat(64);
    private static final String OTHER = "b".repeat(64);

    @ParameterizedTest
    @CsvSource({
        "1, 0, 3, 1, GRANTED",
        "1, 0, 3, 2, OTHERS_SWAP",
        "2, 0, 3, 2, GRANTED",
        "2, 0, 3, 3, OTHERS_SWAP",
        "3, 2, 3, 1, GRANTED",
        "3, 2, 3, 2, TOO_FEW_SERVE",
        "1, 2, 2, 1, TOO_FEW_SERVE",
    })
    void decide_nthWish_holdsBounds(
            int maxUnavailable, int leastServing, int serving, int nth, Verdict expected) {
        SwapLeaseTable table = settled(maxUnavailable, leastServing);
        Verdict verdict = Verdict.GRANTED;
        for (int i = 1; i <= nth; i++) {
            LeaseRequest wish = request("vm-" + i, STATED, serving, false);
            verdict = table.decide(wish, document(maxUnavailable, leastServing), 1, SETTLED);
        }
        assertThat(verdict, is(expected));
    }

    @Test
    void decide_leaseEnded_nextIsGranted() {
        SwapLeaseTable table = settled(1, 0);
        table.decide(request("vm-1", STATED, 3, false), document(1, 0), 1, SETTLED);
        LeaseRequest second = request("vm-2", STATED, 3, false);
        assertThat(
                table.decide(second, document(1, 0), 1, SETTLED.plus(LEASE)), is(Verdict.GRANTED));
    }

    @Test
    void decide_newTerm_waitsForFormerTurns() {
        SwapLeaseTable table = settled(1, 0);
        LeaseRequest wish = request("vm-1", STATED, 3, false);
        assertThat(table.decide(wish, document(1, 0), 2, SETTLED), is(Verdict.NEW_LEADER));
        LeaseRequest idle = request("vm-2", STATED, 3, true);
        assertThat(table.decide(idle, document(1, 0), 2, SETTLED), is(Verdict.GRANTED));
    }

    @Test
    void decide_versionNoLongerStated_isRefused() {
        LeaseRequest wish = request("vm-1", OTHER, 3, false);
        assertThat(
                settled(1, 0).decide(wish, document(1, 0), 1, SETTLED), is(Verdict.OTHER_VERSION));
    }

    @ParameterizedTest
    @CsvSource({"4, 3, 64, 64, 64", "4, 3, 60, 64, 4", "3, 3, 0, 64, 0", "4, 3, 64, 1, 0"})
    void grant_spareCopies_bounded(int copies, int regions, int spent, int wanted, int expected) {
        OriginBudget budget = OriginBudget.of(copies, regions, Duration.ofMinutes(10));
        budget.grant("v", 128, spent, START);
        int granted = budget.grant("v", 128, wanted, START);
        assertThat(granted, is(spent == 64 ? 0 : expected));
        assertThat(budget.grant("v", 128, 1, START.plusSeconds(600)), is(copies > regions ? 1 : 0));
    }

    @Test
    void grantAlone_allRegionsCutOff_staysWithinHalfOfTheSpareCopies() {
        int drawn = 0;
        for (int agent = 0; agent < 9; agent++) {
            drawn +=
                    OriginBudget.of(4, 3, Duration.ofMinutes(10))
                            .grantWithoutLeader("v", 128, 3, 128, START);
        }
        assertThat(drawn <= 64, is(true));
    }

    private static SwapLeaseTable settled(int maxUnavailable, int leastServing) {
        SwapLeaseTable table = SwapLeaseTable.of(LEASE);
        LeaseRequest wish = request("vm-0", STATED, 3, false);
        assertThat(
                table.decide(wish, document(maxUnavailable, leastServing), 1, START),
                is(Verdict.NEW_LEADER));
        return table;
    }

    private static LeaseRequest request(String vm, String version, int serving, boolean isIdle) {
        return new LeaseRequest("writer", "ne-a", vm, version, serving, isIdle);
    }

    private static Optional<ServiceDocument> document(int maxUnavailable, int leastServing) {
        String text =
                """
                {"service": "writer", "owner": "letters",
                 "version": {"name": "v1", "manifestDigest": "%s"},
                 "rollout": {"maxUnavailable": %d, "leastServing": %d},
                 "routes": [{"path": "/v1/completions"}]}
                """
                        .formatted(STATED, maxUnavailable, leastServing);
        return Optional.of(ServiceDocument.parse(text).orElseThrow());
    }
}
