package org.sequoiahill.bench.processes;

import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process started by this program that can be terminated, killed, frozen, resumed and restarted.
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

    /**
     * Starts a Java program with the class path of this process; its output goes to {@code
     * name.out} and {@code name.err} in the log folder.
     */
    public static ManagedProcess startJava(
            String name, Path logFolder, int heapMebibytes, String mainClass, List<String> args)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.add("-Xmx" + heapMebibytes + "m");
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

    /** Kills the process (SIGKILL) and waits until it has exited. */
    public void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Requests the process to terminate (SIGTERM); returns immediately. */
    public void terminate() {
        mProcess.destroy();
    }

    /**
     * Waits for the process to exit and returns its exit code.
     *
     * @throws IllegalStateException if it does not exit within {@code timeout}
     */
    public int awaitExit(Duration timeout) throws InterruptedException {
        if (!mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(mName + " did not exit within " + timeout);
        }
        return mProcess.exitValue();
    }

    /** Freezes the process (SIGSTOP). */
    public void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Resumes a frozen process (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Starts the same program again after the process has exited. */
    public void restart() throws IOException {
        if (mProcess.isAlive()) {
            throw new IllegalStateException(mName + " is still running");
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
