package org.sequoiahill.daemon.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles SIGTERM, SIGINT and SIGHUP.
 *
 * <p>A shutdown hook runs for the first signal only. A handler of the JDK's own signal class is
 * called for each signal; it is reached by reflection because that class is not a public API. If it
 * is missing, termination falls back to a shutdown hook and SIGHUP is not handled.
 */
public final class Signals {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private Signals() {}

    /** Runs a task on each signal that requests termination. */
    public static void onTerminate(Runnable task) {
        if (!handle(task, "TERM", "INT")) {
            Runtime.getRuntime().addShutdownHook(new Thread(task, "shutdown"));
        }
    }

    /** Runs a task on each signal that reports changed settings. */
    public static void onReload(Runnable task) {
        handle(task, "HUP");
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
            Logger.warn(e, "signals {} can't be handled", String.join(", ", signals));
            return false;
        }
    }
}
