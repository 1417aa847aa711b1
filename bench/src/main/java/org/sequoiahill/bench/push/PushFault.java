package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

/** Faults of a fleet during a push. */
enum PushFault {
    /** No fault. */
    NONE {
        @Override
        void inject(SimulatedPush push) {}
    },

    /** Some entries and agents have slow links for a while. */
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

    /** An entry that fetches from the origin and some agents are suspended for a while. */
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

    /** All agents stop at the same time and restart. */
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

    /** Accepts every n-th element, starting with the first. */
    private static final class EveryNth implements Predicate<Object> {
        private final int mInterval;
        private int mSeen;

        EveryNth(int interval) {
            mInterval = interval;
        }

        @Override
        public boolean test(Object any) {
            return mSeen++ % mInterval == 0;
        }
    }
}
