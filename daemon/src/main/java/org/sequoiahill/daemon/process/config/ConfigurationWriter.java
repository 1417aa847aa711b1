package org.sequoiahill.daemon.process.config;

import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.WriteResult;

/** Commits configuration changes, here or through the leader of the stores. */
@FunctionalInterface
public interface ConfigurationWriter {
    /**
     * Commits a change.
     *
     * <p>Fails, or completes with UNAVAILABLE, if the commit is not confirmed, for example because
     * no majority responds in time. The change may still be committed then; a resend with the same
     * change id gets its first result.
     */
    CompletableFuture<WriteResult> write(ConfigurationWrite write);
}
