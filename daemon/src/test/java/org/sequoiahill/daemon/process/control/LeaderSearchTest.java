package org.sequoiahill.daemon.process.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaderSearchTest {
    /** Answers: down, none (no leader known), or the VM that is named as the leader. */
    @ParameterizedTest
    @CsvSource({
        // last known, answers in turn, stores asked
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
    void next_afterAnswers_asksEachStoreAtMostTwice(String last, String answers, String asked) {
        LeaderSearch search =
                LeaderSearch.over(
                        List.of("a", "b", "c"), Optional.of(last).filter(vm -> !vm.isEmpty()));
        List<String> order = new ArrayList<>();
        search.next().ifPresent(order::add);
        for (String answer : answers.split(" ", -1)) {
            if (!answer.equals("down")) {
                search.onHint(Optional.of(answer).filter(vm -> !vm.equals("none")));
            }
            search.next().ifPresent(order::add);
        }

        assertThat(String.join(" ", order), is(asked));
    }
}
