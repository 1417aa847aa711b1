package org.sequoiahill.daemon.process.config;

import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.WriteResult;

/** Takes a change to where it is committed. */
@FunctionalInterface
public interface ConfigurationWriter {
    /** Commits a change; fails where no majority can be reached. */
    CompletableFuture<WriteResult> write(ConfigurationWrite write);
}
