package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Lists endpoints. */
@Parameters(commandDescription = "list: endpoints that the queried entry knows")
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
