package org.sequoiahill.daemon.process.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaderSearchTest {
    /** Replies: down, none (no leader known), or the VM that is named as the leader. */
    @ParameterizedTest
    @CsvSource({
        // last known leader, replies in order, stores called
        "'', down down down, a b c",
        "'', none none none, a b c",
        "'', c down, a c b",
        "b, down down down, b a c",
        "b, c down none none, b c a",
        "'', b a b a, a b a b c",
        "'', a a, a a b",
        "x, down, a b",
        "'', x down, a b c",
    })
    void next_afterReplies_callsEachStoreAtMostTwice(String last, String replies, String called) {
        LeaderSearch search =
                LeaderSearch.over(
                        List.of("a", "b", "c"), Optional.of(last).filter(vm -> !vm.isEmpty()));
        List<String> order = new ArrayList<>();
        search.next().ifPresent(order::add);
        for (String reply : replies.split(" ", -1)) {
            if (!reply.equals("down")) {
                search.onHint(Optional.of(reply).filter(vm -> !vm.equals("none")));
            }
            search.next().ifPresent(order::add);
        }

        assertThat(String.join(" ", order), is(called));
    }
}
