package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.sequoiahill.protocol.document.DataCentreDocument;

/** Lists data centres, takes them out of service and puts them back. */
@Parameters(commandDescription = "in|out|list: data centres")
final class DataCentreCommand implements Command {
    @Parameter(description = "in NAME | out NAME | list", validateWith = ArgumentValidator.class)
    private List<String> mArguments = new ArrayList<>();

    @Parameter(
            names = "--change-id",
            description = "id of the change; repeat it to resend after a lost response")
    private String mChangeId = UUID.randomUUID().toString();

    @Parameter(names = "--replaces", description = "revision that the change replaces")
    private long mReplaces = -1;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        String verb = CommandContext.argument(mArguments, 0, "in, out or list");
        if (verb.equals("list")) {
            return context.print(
                    context.client().read("data-centres"),
                    "name",
                    "state",
                    "revision",
                    "seen",
                    "serving");
        }
        if (!verb.equals("in") && !verb.equals("out")) {
            throw new ParameterException("data-centre expects in, out or list, not " + verb);
        }
        String name = CommandContext.argument(mArguments, 1, "the name of the data centre");
        String text = "{\"dataCentre\": \"" + name + "\", \"state\": \"" + verb + "\"}";
        if (!DataCentreDocument.parse(text).isValid()) {
            context.errors().println(DataCentreDocument.parse(text).describeFaults());
            return ExitCode.REFUSED;
        }
        String path = "data-centres/" + name;
        long replaces = mReplaces >= 0 ? mReplaces : ServiceCommand.revision(context, path);
        ExitCode code =
                context.print(
                        context.client().change(path, replaces, mChangeId, text),
                        "status",
                        "revision");
        if (code == ExitCode.UNAVAILABLE) {
            context.errors()
                    .println("resend with --change-id " + mChangeId + " --replaces " + replaces);
        }
        return code;
    }
}
