package org.sequoiahill.cli;

import com.beust.jcommander.JCommander;
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
import org.jspecify.annotations.Nullable;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.json.Checked;
import org.sequoiahill.protocol.weights.Manifest;

/** The program {@code sequoia}. */
public final class SequoiaCli {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_REFUSED = 3;

    private SequoiaCli() {}

    private static final class Common {
        @Parameter(names = "--server", description = "operators' address of any entry or store")
        private String mServer = System.getenv().getOrDefault("SEQUOIA_SERVER", "");

        @Parameter(names = "--token-file", description = "file with the operator's bearer token")
        private @Nullable String mTokenFile;

        @Parameter(names = "--help", help = true, description = "print this text and exit")
        private boolean mHelp;
    }

    @Parameters(commandDescription = "apply|get|list: documents of services")
    private static final class Service {
        @Parameter(description = "apply FILE | get NAME | list")
        private List<String> mWords = new ArrayList<>();

        @Parameter(names = "--replaces", description = "revision that the change replaces")
        private long mReplaces = -1;

        @Parameter(
                names = "--change-id",
                description = "resend with the same id after a lost answer")
        private String mChangeId = UUID.randomUUID().toString();
    }

    @Parameters(commandDescription = "in|out|list: data centres")
    private static final class DataCentre {
        @Parameter(description = "in NAME | out NAME | list")
        private List<String> mWords = new ArrayList<>();

        @Parameter(
                names = "--change-id",
                description = "resend with the same id after a lost answer")
        private String mChangeId = UUID.randomUUID().toString();
    }

    @Parameters(commandDescription = "manifest: make the manifest of a folder of weights")
    private static final class Weights {
        @Parameter(description = "manifest FOLDER")
        private List<String> mWords = new ArrayList<>();

        @Parameter(names = "--name", description = "name of the version")
        private String mName = "";

        @Parameter(names = "--chunk-bytes", description = "size of a chunk")
        private int mChunkBytes = 8 << 20;
    }

    @Parameters(commandDescription = "list: endpoints that the asked entry knows")
    private static final class EndpointCommand {
        @Parameter(description = "list")
        private List<String> mWords = new ArrayList<>();
    }

    /** Runs one command. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        Common common = new Common();
        Service service = new Service();
        DataCentre dataCentre = new DataCentre();
        Weights weights = new Weights();
        EndpointCommand endpoint = new EndpointCommand();
        JCommander commander =
                JCommander.newBuilder()
                        .programName("sequoia")
                        .addObject(common)
                        .addCommand("service", service)
                        .addCommand("data-centre", dataCentre)
                        .addCommand("weights", weights)
                        .addCommand("endpoint", endpoint)
                        .build();
        try {
            commander.parse(args);
            String command = commander.getParsedCommand();
            if (common.mHelp || command == null) {
                commander.usage();
                return common.mHelp ? EXIT_OK : EXIT_USAGE;
            }
            if (command.equals("weights")) {
                return writeManifest(weights);
            }
            String token =
                    common.mTokenFile == null
                            ? System.getenv().getOrDefault("SEQUOIA_TOKEN", "")
                            : Files.readString(Path.of(common.mTokenFile)).strip();
            try (OperatorsClient client = OperatorsClient.connect(common.mServer, token)) {
                return switch (command) {
                    case "service" -> service(client, service);
                    case "data-centre" -> dataCentre(client, dataCentre);
                    default -> endpoints(client, endpoint);
                };
            }
        } catch (ParameterException e) {
            System.err.println("sequoia: " + e.getMessage() + "; see --help");
            return EXIT_USAGE;
        } catch (Exception e) {
            System.err.println("sequoia: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private static int service(OperatorsClient client, Service service) throws Exception {
        return switch (word(service.mWords, 0)) {
            case "list" -> print(client.read("services"));
            case "get" -> print(client.read("services/" + word(service.mWords, 1)));
            case "apply" -> applyService(client, service);
            default -> throw new ParameterException("service takes apply, get or list");
        };
    }

    private static int applyService(OperatorsClient client, Service service) throws Exception {
        String text = Files.readString(Path.of(word(service.mWords, 1)));
        Checked<ServiceDocument> document = ServiceDocument.parse(text);
        if (!document.isValid()) {
            System.err.println(document.describeFaults());
            return EXIT_REFUSED;
        }
        String path = "services/" + document.orElseThrow().service();
        long replaces = service.mReplaces >= 0 ? service.mReplaces : revision(client, path);
        return print(client.change(path, replaces, service.mChangeId, text));
    }

    private static int dataCentre(OperatorsClient client, DataCentre command) throws Exception {
        String verb = word(command.mWords, 0);
        if (verb.equals("list")) {
            return print(client.read("data-centres"));
        }
        if (!verb.equals("in") && !verb.equals("out")) {
            throw new ParameterException("data-centre takes in, out or list");
        }
        String name = word(command.mWords, 1);
        String path = "data-centres/" + name;
        String text = "{\"dataCentre\": \"" + name + "\", \"state\": \"" + verb + "\"}";
        return print(client.change(path, revision(client, path), command.mChangeId, text));
    }

    private static int endpoints(OperatorsClient client, EndpointCommand command) throws Exception {
        if (!word(command.mWords, 0).equals("list")) {
            throw new ParameterException("endpoint takes list");
        }
        return print(client.read("endpoints"));
    }

    private static int writeManifest(Weights weights) throws IOException {
        Path folder = Path.of(word(weights.mWords, 1));
        Manifest manifest = ManifestWriter.write(folder, weights.mName, weights.mChunkBytes);
        System.out.println(manifest.digest());
        return EXIT_OK;
    }

    private static long revision(OperatorsClient client, String path) throws Exception {
        OperatorsClient.Answer answer = client.read(path);
        return answer.isOk() ? answer.body().path("revision").asLong() : 0;
    }

    private static int print(OperatorsClient.Answer answer) {
        JsonNode body = answer.body();
        (answer.isOk() ? System.out : System.err).println(body.toPrettyString());
        return answer.isOk() ? EXIT_OK : EXIT_REFUSED;
    }

    private static String word(List<String> words, int index) {
        if (index >= words.size()) {
            throw new ParameterException("a word is missing");
        }
        return words.get(index);
    }
}
