package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Lists the endpoints of the queried entry's data centre. */
@Parameters(commandDescription = "list: endpoints of the queried entry's data centre")
final class EndpointCommand implements Command {
    @Parameter(description = "list", validateWith = ArgumentValidator.class)
    private List<String> mArguments = new ArrayList<>();

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        if (!CommandContext.argument(mArguments, 0, "list").equals("list")) {
            throw new ParameterException("endpoint expects list");
        }
        return context.print(
                context.client().read("endpoints"),
                "vm",
                "dataCentre",
                "service",
                "serving",
                "version",
                "running",
                "capacity",
                "chunksHeld",
                "chunksStated",
                "revision");
    }
}
