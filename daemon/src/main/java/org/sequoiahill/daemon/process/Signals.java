package org.sequoiahill.daemon.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.jspecify.annotations.Nullable;

/**
 * Handles SIGTERM, SIGINT and SIGHUP.
 *
 * <p>A shutdown hook runs for the first signal only. A handler of the JDK's own signal class is
 * called for each signal; it is reached by reflection because that class is not a public API. If it
 * is missing, termination falls back to a shutdown hook and SIGHUP is not handled.
 *
 * <p>Writes to standard error because signals are handled before logging is configured.
 */
public final class Signals {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private final SignalTask mTermination = new SignalTask("termination");
    private final SignalTask mReload = new SignalTask("reload");

    private Signals() {}

    /**
     * Installs the handlers. A program calls this before anything else, since the JVM ends the
     * process on a signal that has no handler. A signal that arrives before its task is set is
     * remembered.
     */
    public static Signals install() {
        Signals signals = new Signals();
        if (!handle(signals.mTermination, "TERM", "INT")) {
            Runtime.getRuntime().addShutdownHook(new Thread(signals.mTermination, "shutdown"));
        }
        handle(signals.mReload, "HUP");
        return signals;
    }

    /** Returns whether a signal has requested termination before {@link #onTerminate}. */
    public boolean isTerminationPending() {
        return mTermination.isPending();
    }

    /**
     * Sets the task that runs on each signal that requests termination; runs it at once if there
     * was such a signal before.
     */
    public void onTerminate(Runnable task) {
        mTermination.set(task);
    }

    /**
     * Sets the task that runs on each signal that reports changed settings; runs it at once if
     * there was such a signal before.
     */
    public void onReload(Runnable task) {
        mReload.set(task);
    }

    private static boolean handle(Runnable task, String... signals) {
        try {
            Class<?> signalType = Class.forName(SIGNAL);
            Class<?> handlerType = Class.forName(HANDLER);
            InvocationHandler invocation =
                    (proxy, method, args) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    };
            Object handler =
                    Proxy.newProxyInstance(
                            handlerType.getClassLoader(), new Class<?>[] {handlerType}, invocation);
            for (String name : signals) {
                Object signal = signalType.getConstructor(String.class).newInstance(name);
                signalType
                        .getMethod("handle", signalType, handlerType)
                        .invoke(null, signal, handler);
            }
            return true;
        } catch (ReflectiveOperationException e) {
            System.err.println("signals " + String.join(", ", signals) + " can't be handled: " + e);
            return false;
        }
    }

    /** A task that runs on each signal; signals before it is set make it run once. */
    private static final class SignalTask implements Runnable {
        private final String mName;
        private @Nullable Runnable mTask;
        private boolean mIsPending;

        SignalTask(String name) {
            mName = name;
        }

        synchronized boolean isPending() {
            return mIsPending;
        }

        void set(Runnable task) {
            boolean isPending;
            synchronized (this) {
                mTask = task;
                isPending = mIsPending;
                mIsPending = false;
            }
            if (isPending) {
                task.run();
            }
        }

        @Override
        public void run() {
            Runnable task;
            synchronized (this) {
                task = mTask;
                mIsPending = task == null;
            }
            if (task == null) {
                System.err.println(mName + " was requested by a signal during the start");
            } else {
                task.run();
            }
        }
    }
}
