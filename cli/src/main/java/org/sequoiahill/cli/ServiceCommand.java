package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.json.ParseResult;

/** Reads and applies services' documents, and shows the progress of a rollout. */
@Parameters(commandDescription = "apply|get|list|status|history: documents of services")
final class ServiceCommand implements Command {
    private static final int DEFAULT_WAIT_SECONDS = 600;

    @Parameter(
            description = "apply FILE | get NAME | list | status NAME | history NAME",
            validateWith = ArgumentValidator.class)
    private List<String> mArguments = new ArrayList<>();

    @Parameter(names = "--replaces", description = "revision that the change replaces")
    private long mReplaces = -1;

    @Parameter(
            names = "--change-id",
            description = "id of the change; repeat it to resend after a lost response")
    private String mChangeId = UUID.randomUUID().toString();

    @Parameter(names = "--wait", description = "status: wait until every stated replica is done")
    private boolean mIsWaiting;

    @Parameter(names = "--wait-seconds", description = "longest wait, in seconds")
    private int mWaitSeconds = DEFAULT_WAIT_SECONDS;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        String verb = CommandContext.argument(mArguments, 0, "apply, get, list, status or history");
        return switch (verb) {
            case "list" -> context.print(context.client().read("services"), "name", "revision");
            case "get" -> context.print(context.client().read("services/" + serviceName()));
            case "history" ->
                    AuditCommand.printAll(context, "services/" + serviceName() + "/history");
            case "status" -> status(context);
            case "apply" -> apply(context);
            default ->
                    throw new ParameterException(
                            "service expects apply, get, list, status or history, not " + verb);
        };
    }

    private String serviceName() {
        return CommandContext.argument(mArguments, 1, "the name of the service");
    }

    private ExitCode apply(CommandContext context) throws Exception {
        String text = Files.readString(Path.of(CommandContext.argument(mArguments, 1, "the file")));
        ParseResult<ServiceDocument> document = ServiceDocument.parse(text);
        if (!document.isValid()) {
            context.errors().println(document.describeFaults());
            return ExitCode.REFUSED;
        }
        String path = "services/" + document.orElseThrow().service();
        long replaces = mReplaces >= 0 ? mReplaces : revision(context, path);
        OperatorClient.Response response = context.client().change(path, replaces, mChangeId, text);
        ExitCode code = context.print(response, "status", "revision");
        if (code == ExitCode.UNAVAILABLE) {
            context.errors()
                    .println("resend with --change-id " + mChangeId + " --replaces " + replaces);
        }
        return code;
    }

    private ExitCode status(CommandContext context) throws Exception {
        OperatorClient.Response response =
                context.client().read("services/" + serviceName() + "/status");
        for (int i = 0; mIsWaiting && isPending(response) && i < mWaitSeconds; i++) {
            printProgress(context, response.body());
            context.pollDelay().await();
            response = context.client().read("services/" + serviceName() + "/status");
        }
        if (!response.isOk()) {
            return context.print(response);
        }
        if (context.isTable()) {
            context.printBody(
                    response.body().path("dataCentres"),
                    "dataCentre",
                    "state",
                    "done",
                    "stated",
                    "serving",
                    "chunksHeld",
                    "chunksStated",
                    "revisionInForce");
        } else {
            context.printBody(response.body());
        }
        return mIsWaiting && isPending(response) ? ExitCode.NOT_DONE : ExitCode.OK;
    }

    private static boolean isPending(OperatorClient.Response response) {
        return response.status() == 503
                || (response.isOk() && !response.body().path("isDone").asBoolean());
    }

    private static void printProgress(CommandContext context, JsonNode status) {
        long held = 0;
        long stated = 0;
        for (JsonNode dataCentre : status.path("dataCentres")) {
            held += dataCentre.path("chunksHeld").asLong();
            stated += dataCentre.path("chunksStated").asLong();
        }
        context.errors()
                .printf(
                        "%d of %d replicas done, %d of %d chunks held%n",
                        status.path("done").asLong(), status.path("stated").asLong(), held, stated);
    }

    /** Returns the revision of a document, or zero if there is none or it can't be read. */
    static long revision(CommandContext context, String path)
            throws IOException, InterruptedException {
        OperatorClient.Response response = context.client().read(path);
        return response.isOk() ? response.body().path("revision").asLong() : 0;
    }
}
