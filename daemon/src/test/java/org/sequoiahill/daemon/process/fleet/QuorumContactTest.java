package org.sequoiahill.daemon.process.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.settings.HostPort;

/** Tests of {@link QuorumContact}. */
final class QuorumContactTest {
    private static final Duration FIRST = Duration.ofSeconds(100);

    @ParameterizedTest
    @CsvSource({
        // stores that reply, all stores; whether that is contact with a majority
        "1, 1, true",
        "1, 2, false",
        "2, 2, true",
        "1, 3, false",
        "2, 3, true",
        "2, 4, false",
        "2, 5, false",
        "3, 5, true"
    })
    void since_someStoresReply_isPresentOnlyWithMajority(
            int replying, int all, boolean isInContact) {
        QuorumContact contact = new QuorumContact();
        reply(contact, replying, all, FIRST);
        assertThat(contact.since(FIRST).isPresent(), is(isInContact));
    }

    @ParameterizedTest
    @CsvSource({
        // milliseconds without a reply, whether the contact is uninterrupted
        "900, true",
        "5000, true",
        "5001, false",
        "60000, false"
    })
    void since_storesReplyAgainAfterGap_restartsOnlyAfterLongGap(
            long gapMillis, boolean isUninterrupted) {
        QuorumContact contact = new QuorumContact();
        reply(contact, 3, 3, FIRST);
        Duration again = FIRST.plusMillis(gapMillis);
        assertThat(contact.since(again).isPresent(), is(isUninterrupted));
        reply(contact, 2, 3, again);
        assertThat(contact.since(again), is(Optional.of(isUninterrupted ? FIRST : again)));
    }

    @ParameterizedTest
    @CsvSource({
        // store that still replies: an old member, a new member
        "1",
        "7"
    })
    void since_onlyOneOfThreeStoresStillReplies_endsAfterMaxGap(int store) {
        QuorumContact contact = new QuorumContact();
        reply(contact, 2, 3, FIRST);
        Set<HostPort> stores = Set.of(store(1), store(7), store(8));
        Duration end = FIRST.plus(QuorumContact.MAX_GAP).plusMillis(1);
        contact.recordReply(store(store), stores, end);
        assertThat(contact.since(end).isPresent(), is(false));
    }

    private static void reply(QuorumContact contact, int replying, int all, Duration now) {
        for (int i = 0; i < replying; i++) {
            contact.recordReply(store(i), stores(all), now);
        }
    }

    private static Set<HostPort> stores(int count) {
        return IntStream.range(0, count)
                .mapToObj(QuorumContactTest::store)
                .collect(Collectors.toSet());
    }

    private static HostPort store(int number) {
        return new HostPort("10.0.0." + number, 1);
    }
}
