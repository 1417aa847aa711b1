package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes manifests of weights; needs no server. */
@Parameters(commandDescription = "manifest: write the manifest of a folder of weights")
final class WeightsCommand implements Command {
    private static final int DEFAULT_CHUNK_BYTES = 8 << 20;

    @Parameter(description = "manifest FOLDER", validateWith = ArgumentValidator.class)
    private List<String> mArguments = new ArrayList<>();

    @Parameter(names = "--name", description = "name of the version")
    private String mName = "";

    @Parameter(names = "--chunk-bytes", description = "size of a chunk")
    private int mChunkBytes = DEFAULT_CHUNK_BYTES;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        if (!CommandContext.argument(mArguments, 0, "manifest").equals("manifest")) {
            throw new ParameterException("weights expects manifest");
        }
        Path folder = Path.of(CommandContext.argument(mArguments, 1, "the folder"));
        context.out().println(ManifestWriter.write(folder, mName, mChunkBytes).digest());
        return ExitCode.OK;
    }
}
