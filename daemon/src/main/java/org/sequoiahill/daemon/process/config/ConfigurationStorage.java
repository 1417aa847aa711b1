package org.sequoiahill.daemon.process.config;

import java.io.IOException;
import java.util.Optional;
import org.sequoiahill.protocol.gen.ConfigurationDelta;

/** Keeps the newest configuration over a restart. */
public interface ConfigurationStorage {
    /**
     * Returns what was saved last; empty where nothing was.
     *
     * @throws IOException where the content can't be read or is damaged
     */
    Optional<ConfigurationDelta> load() throws IOException;

    /**
     * Saves a whole configuration; it is durable once this returns.
     *
     * @throws IOException where it can't be written; what was saved before stays
     */
    void save(ConfigurationDelta whole) throws IOException;

    /** Returns a storage that keeps nothing. */
    static ConfigurationStorage none() {
        return new ConfigurationStorage() {
            @Override
            public Optional<ConfigurationDelta> load() {
                return Optional.empty();
            }

            @Override
            public void save(ConfigurationDelta whole) {
                // Nothing is kept over a restart.
            }
        };
    }
}
