package org.sequoiahill.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Main class of the command-line tool {@code sequoia}. */
public final class SequoiaCli {
    private final CommonOptions mCommon = new CommonOptions();

    @Parameter(names = "--help", help = true, description = "print this text and exit")
    private boolean mHelp;

    SequoiaCli() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        System.exit(new SequoiaCli().run(args).status());
    }

    ExitCode run(String... args) {
        try {
            return parseAndRun(args);
        } catch (ParameterException e) {
            System.err.println("sequoia: " + e.getMessage() + "; see --help");
            return ExitCode.USAGE;
        } catch (OperatorClient.UnreachableException e) {
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
                JCommander.newBuilder()
                        .programName("sequoia")
                        .addObject(this)
                        .addObject(mCommon)
                        .build();
        commands.forEach((name, command) -> commander.addCommand(name, List.of(command, mCommon)));
        commander.parse(args);
        Command command = commands.get(String.valueOf(commander.getParsedCommand()));
        if (mHelp || command == null) {
            commander.usage();
            return mHelp ? ExitCode.OK : ExitCode.USAGE;
        }
        boolean isTable = mCommon.isTable();
        if (mCommon.server().isEmpty() && !(command instanceof WeightsCommand)) {
            throw new ParameterException("--server or SEQUOIA_SERVER must name a server");
        }
        try (OperatorClient client = OperatorClient.connect(mCommon.server(), mCommon.token())) {
            return command.run(
                    new CommandContext(
                            client,
                            isTable,
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
}
