package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpMethod;

/** Lists, adds and removes members of the replicated logs. */
@Parameters(commandDescription = "members|add|remove: stores of the replicated logs")
final class StoreCommand implements Command {
    @Parameter(description = "members | add VM | remove VM", validateWith = ArgumentValidator.class)
    private List<String> mArguments = new ArrayList<>();

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        String verb = CommandContext.argument(mArguments, 0, "members, add or remove");
        OperatorClient client = context.client();
        return switch (verb) {
            case "members" -> context.print(client.read("stores"));
            case "add" -> context.print(client.call(HttpMethod.PUT, "stores/" + vm()));
            case "remove" -> context.print(client.call(HttpMethod.DELETE, "stores/" + vm()));
            default ->
                    throw new ParameterException(
                            "store expects members, add or remove, not " + verb);
        };
    }

    private String vm() {
        return CommandContext.argument(mArguments, 1, "the VM of the store");
    }
}
