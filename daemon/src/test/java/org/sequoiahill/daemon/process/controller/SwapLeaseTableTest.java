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
    private static final Duration AFTER_LEASE = START.plus(LEASE);
    private static final String SPECIFIED = "a".repeat(64);
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
    void decide_nthRequest_holdsRolloutLimits(
            int maxUnavailable, int leastServing, int serving, int nth, Verdict expected) {
        SwapLeaseTable table = tableAfterLease(maxUnavailable, leastServing);
        Verdict verdict = Verdict.GRANTED;
        for (int i = 1; i <= nth; i++) {
            LeaseRequest request = request("vm-" + i, SPECIFIED, serving, false);
            verdict = table.decide(request, document(maxUnavailable, leastServing), 1, AFTER_LEASE);
        }
        assertThat(verdict, is(expected));
    }

    @Test
    void decide_leaseExpired_nextIsGranted() {
        SwapLeaseTable table = tableAfterLease(1, 0);
        table.decide(request("vm-1", SPECIFIED, 3, false), document(1, 0), 1, AFTER_LEASE);
        LeaseRequest second = request("vm-2", SPECIFIED, 3, false);
        assertThat(
                table.decide(second, document(1, 0), 1, AFTER_LEASE.plus(LEASE)),
                is(Verdict.GRANTED));
    }

    @Test
    void decide_newTerm_waitsForLeasesOfFormerLeader() {
        SwapLeaseTable table = tableAfterLease(1, 0);
        LeaseRequest request = request("vm-1", SPECIFIED, 3, false);
        assertThat(table.decide(request, document(1, 0), 2, AFTER_LEASE), is(Verdict.NEW_LEADER));
        LeaseRequest idle = request("vm-2", SPECIFIED, 3, true);
        assertThat(table.decide(idle, document(1, 0), 2, AFTER_LEASE), is(Verdict.GRANTED));
    }

    @Test
    void decide_versionNoLongerSpecified_isRefused() {
        LeaseRequest request = request("vm-1", OTHER, 3, false);
        assertThat(
                tableAfterLease(1, 0).decide(request, document(1, 0), 1, AFTER_LEASE),
                is(Verdict.OTHER_VERSION));
    }

    @ParameterizedTest
    @CsvSource({"4, 3, 64, 64, 64", "4, 3, 60, 64, 4", "3, 3, 0, 64, 0", "4, 3, 64, 1, 0"})
    void grant_extraCopies_staysWithinBudget(
            int copies, int dataCentres, int alreadyGranted, int wanted, int expected) {
        OriginBudget budget = OriginBudget.of(copies, dataCentres, Duration.ofMinutes(10));
        budget.grant("v", 128, alreadyGranted, START);
        int granted = budget.grant("v", 128, wanted, START);
        assertThat(granted, is(alreadyGranted == 64 ? 0 : expected));
        assertThat(
                budget.grant("v", 128, 1, START.plusSeconds(600)),
                is(copies > dataCentres ? 1 : 0));
    }

    @Test
    void grantWithoutLeader_allDataCentresCutOff_staysWithinHalfOfTheExtraCopies() {
        int granted = 0;
        for (int agent = 0; agent < 9; agent++) {
            granted +=
                    OriginBudget.of(4, 3, Duration.ofMinutes(10))
                            .grantWithoutLeader("v", 128, 3, 128, START);
        }
        assertThat(granted <= 64, is(true));
    }

    private static SwapLeaseTable tableAfterLease(int maxUnavailable, int leastServing) {
        SwapLeaseTable table = SwapLeaseTable.of(LEASE);
        LeaseRequest request = request("vm-0", SPECIFIED, 3, false);
        assertThat(
                table.decide(request, document(maxUnavailable, leastServing), 1, START),
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
                        .formatted(SPECIFIED, maxUnavailable, leastServing);
        return Optional.of(ServiceDocument.parse(text).orElseThrow());
    }
}
