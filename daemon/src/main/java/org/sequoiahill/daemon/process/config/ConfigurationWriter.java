package org.sequoiahill.daemon.process.config;

import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.WriteResult;

/** Commits configuration changes, here or through the leader of the stores. */
@FunctionalInterface
public interface ConfigurationWriter {
    /** Commits a change; fails, or completes with UNAVAILABLE, if no majority can be reached. */
    CompletableFuture<WriteResult> write(ConfigurationWrite write);
}
