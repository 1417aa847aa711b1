package org.sequoiahill.daemon.process.config;

import java.io.IOException;
import java.util.Optional;
import org.sequoiahill.protocol.gen.ConfigurationDelta;

/** Persists the newest configuration across restarts. */
public interface ConfigurationStorage {
    /**
     * Returns the configuration saved last; empty if there is none.
     *
     * @throws IOException if the content can't be read or is damaged
     */
    Optional<ConfigurationDelta> load() throws IOException;

    /**
     * Saves a complete configuration; it is durable once this returns.
     *
     * @throws IOException if it can't be written durably; either it or the one saved before is kept
     */
    void save(ConfigurationDelta configuration) throws IOException;

    /** Returns a storage that saves nothing. */
    static ConfigurationStorage none() {
        return new ConfigurationStorage() {
            @Override
            public Optional<ConfigurationDelta> load() {
                return Optional.empty();
            }

            @Override
            public void save(ConfigurationDelta configuration) {
                // Nothing is saved.
            }
        };
    }
}
