package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

/** What happens to a fleet while a version is on its way. */
enum PushFault {
    /** Nothing. */
    NONE {
        @Override
        void inject(SimulatedPush push) {}
    },

    /** Some entries and agents have narrow links for a while. */
    SQUEEZED {
        @Override
        void inject(SimulatedPush push) {
            push.entries().stream()
                    .skip(2)
                    .filter(new EveryNth(6))
                    .forEach(e -> squeeze(push, e.vm()));
            push.agents().stream()
                    .skip(2)
                    .filter(new EveryNth(6))
                    .forEach(a -> squeeze(push, a.vm()));
        }
    },

    /** An entry that draws and some agents do nothing for a while. */
    SUSPENDED {
        @Override
        void inject(SimulatedPush push) {
            push.time()
                    .runAfter(
                            SUSPEND_AT,
                            () -> {
                                push.entries().get(0).vm().suspend(SUSPEND_TIME);
                                push.agents().stream()
                                        .filter(new EveryNth(10))
                                        .forEach(agent -> agent.vm().suspend(SUSPEND_TIME));
                            });
        }
    },

    /** All agents end at once and start again. */
    RESTARTED {
        @Override
        void inject(SimulatedPush push) {
            push.time()
                    .runAfter(
                            Duration.ofSeconds(1),
                            () -> push.agents().forEach(agent -> agent.restart(RESTART_TIME)));
        }
    };

    private static final Duration SUSPEND_AT = Duration.ofMillis(200);
    private static final Duration SUSPEND_TIME = Duration.ofSeconds(4);
    private static final Duration SQUEEZE_TIME = Duration.ofMillis(5_500);
    private static final Duration RESTART_TIME = Duration.ofSeconds(1);
    private static final double SQUEEZE_FACTOR = 7.3;

    abstract void inject(SimulatedPush push);

    private static void squeeze(SimulatedPush push, SimulatedVm vm) {
        for (SharedLinks.Link link : List.of(vm.in(), vm.out())) {
            push.network().links().scale(link, 1 / SQUEEZE_FACTOR);
            push.time()
                    .runAfter(
                            SQUEEZE_TIME, () -> push.network().links().scale(link, SQUEEZE_FACTOR));
        }
    }

    /** Every so many-th, beginning with the first. */
    private static final class EveryNth implements Predicate<Object> {
        private final int mOf;
        private int mSeen;

        EveryNth(int of) {
            mOf = of;
        }

        @Override
        public boolean test(Object any) {
            return mSeen++ % mOf == 0;
        }
    }
}
