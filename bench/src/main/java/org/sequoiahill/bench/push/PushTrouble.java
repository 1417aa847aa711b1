package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

/** What happens to a fleet while a version is on its way. */
enum PushTrouble {
    /** Nothing. */
    NONE {
        @Override
        void begin(PlayedPush push) {}
    },

    /** Some entries and agents have narrow links for a while. */
    SQUEEZED {
        @Override
        void begin(PlayedPush push) {
            push.entries().stream()
                    .skip(2)
                    .filter(new EachOf(6))
                    .forEach(e -> squeeze(push, e.vm()));
            push.agents().stream()
                    .skip(2)
                    .filter(new EachOf(6))
                    .forEach(a -> squeeze(push, a.vm()));
        }
    },

    /** An entry that draws and some agents do nothing for a while. */
    SUSPENDED {
        @Override
        void begin(PlayedPush push) {
            push.time()
                    .runAfter(
                            AFTER,
                            () -> {
                                push.entries().get(0).vm().suspend(LENGTH);
                                push.agents().stream()
                                        .filter(new EachOf(10))
                                        .forEach(agent -> agent.vm().suspend(LENGTH));
                            });
        }
    },

    /** All agents end at once and start again. */
    RESTARTED {
        @Override
        void begin(PlayedPush push) {
            push.time()
                    .runAfter(
                            Duration.ofSeconds(1),
                            () -> push.agents().forEach(agent -> agent.restart(START)));
        }
    };

    private static final Duration AFTER = Duration.ofMillis(200);
    private static final Duration LENGTH = Duration.ofSeconds(4);
    private static final Duration SQUEEZE_LENGTH = Duration.ofMillis(5_500);
    private static final Duration START = Duration.ofSeconds(1);
    private static final double SQUEEZE = 7.3;

    abstract void begin(PlayedPush push);

    private static void squeeze(PlayedPush push, PlayedVm vm) {
        for (SharedLinks.Link link : List.of(vm.in(), vm.out())) {
            push.network().links().scale(link, 1 / SQUEEZE);
            push.time().runAfter(SQUEEZE_LENGTH, () -> push.network().links().scale(link, SQUEEZE));
        }
    }

    /** Every so many-th, beginning with the first. */
    private static final class EachOf implements Predicate<Object> {
        private final int mOf;
        private int mSeen;

        EachOf(int of) {
            mOf = of;
        }

        @Override
        public boolean test(Object any) {
            return mSeen++ % mOf == 0;
        }
    }
}
