package org.sequoiahill.bench.processes;

import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One process that this program has started: it can be ended, killed, frozen, resumed, restarted.
 */
public final class ManagedProcess {
    private static final List<String> JAVA_OPTIONS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");

    private final String mName;
    private final List<String> mCommand;
    private final Path mLogFolder;
    private Process mProcess;

    private ManagedProcess(String name, List<String> command, Path logFolder) throws IOException {
        mName = name;
        mCommand = command;
        mLogFolder = logFolder;
        mProcess = launch();
    }

    /** Starts a Java program with the class path of this process. */
    public static ManagedProcess startJava(
            String name, Path logFolder, int heapMegabytes, String mainClass, List<String> args)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.add("-Xmx" + heapMegabytes + "m");
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(args);
        return new ManagedProcess(name, List.copyOf(command), logFolder);
    }

    /** Returns the name of the process. */
    public String name() {
        return mName;
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Kills the process without notice (SIGKILL) and waits for its end. */
    public void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Asks the process to end (SIGTERM). */
    public void terminate() {
        mProcess.destroy();
    }

    /** Returns the exit code, or throws where the process does not end within the bound. */
    public int awaitExit(Duration bound) throws InterruptedException {
        if (!mProcess.waitFor(bound.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(mName + " did not end within " + bound);
        }
        return mProcess.exitValue();
    }

    /** Freezes the process (SIGSTOP). */
    public void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets a frozen process go on (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Starts the same program again after its end. */
    public void restart() throws IOException {
        if (mProcess.isAlive()) {
            throw new IllegalStateException(mName + " still runs");
        }
        mProcess = launch();
    }

    private Process launch() throws IOException {
        return new ProcessBuilder(mCommand)
                .redirectOutput(Redirect.appendTo(mLogFolder.resolve(mName + ".out").toFile()))
                .redirectError(Redirect.appendTo(mLogFolder.resolve(mName + ".err").toFile()))
                .start();
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    }
}
