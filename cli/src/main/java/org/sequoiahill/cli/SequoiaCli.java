package org.sequoiahill.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** The program {@code sequoia}. */
public final class SequoiaCli {
    @Parameter(
            names = "--server",
            description = "operators' addresses of entries or stores, by comma, tried in turn")
    private String mServer = System.getenv().getOrDefault("SEQUOIA_SERVER", "");

    @Parameter(names = "--token-file", description = "file with the operator's bearer token")
    private @Nullable String mTokenFile;

    @Parameter(names = "--output", description = "json or table")
    private String mOutput = "json";

    @Parameter(names = "--help", help = true, description = "print this text and exit")
    private boolean mHelp;

    private SequoiaCli() {}

    /** Runs one command. */
    public static void main(String[] args) {
        System.exit(new SequoiaCli().run(args).status());
    }

    private ExitCode run(String[] args) {
        try {
            return parseAndRun(args);
        } catch (ParameterException e) {
            System.err.println("sequoia: " + e.getMessage() + "; see --help");
            return ExitCode.USAGE;
        } catch (OperatorsClient.UnreachableException e) {
            System.err.println("sequoia: " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        } catch (IOException e) {
            System.err.println("sequoia: " + e.getClass().getSimpleName() + ": " + e.getMessage());
            return ExitCode.FAILED;
        } catch (Exception e) {
            System.err.println("sequoia: " + e);
            return ExitCode.FAILED;
        }
    }

    private ExitCode parseAndRun(String[] args) throws Exception {
        Map<String, Command> commands = commands();
        JCommander commander =
                JCommander.newBuilder().programName("sequoia").addObject(this).build();
        commands.forEach(commander::addCommand);
        commander.parse(args);
        Command command = commands.get(String.valueOf(commander.getParsedCommand()));
        if (mHelp || command == null) {
            commander.usage();
            return mHelp ? ExitCode.OK : ExitCode.USAGE;
        }
        if (!mOutput.equals("json") && !mOutput.equals("table")) {
            throw new ParameterException("--output is " + mOutput + "; it must be json or table");
        }
        if (mServer.isEmpty() && !(command instanceof WeightsCommand)) {
            throw new ParameterException("--server or SEQUOIA_SERVER must name a server");
        }
        try (OperatorsClient client = OperatorsClient.connect(mServer, token())) {
            return command.run(
                    new CommandContext(
                            client,
                            mOutput.equals("table"),
                            System.out,
                            System.err,
                            () -> TimeUnit.SECONDS.sleep(1)));
        }
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("service", new ServiceCommand());
        commands.put("data-centre", new DataCentreCommand());
        commands.put("weights", new WeightsCommand());
        commands.put("audit", new AuditCommand());
        commands.put("endpoint", new EndpointCommand());
        commands.put("store", new StoreCommand());
        return commands;
    }

    private String token() throws IOException {
        return mTokenFile == null
                ? System.getenv().getOrDefault("SEQUOIA_TOKEN", "")
                : Files.readString(Path.of(mTokenFile)).strip();
    }
}
