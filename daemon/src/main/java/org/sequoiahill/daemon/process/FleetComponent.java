package org.sequoiahill.daemon.process;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.sequoiahill.daemon.process.settings.FleetSettings;

/** Wires a daemon that discovers the other daemons through seeds. */
@Singleton
@Component(modules = FleetModule.class)
public interface FleetComponent {
    /** Returns the daemon, not yet started. */
    FleetDaemon daemon();

    /** Creates components. */
    @Component.Factory
    interface Factory {
        /**
         * Returns the component of one process.
         *
         * @param adapter names, formats and calls of the platform that the fleet runs on
         */
        FleetComponent create(
                @BindsInstance FleetSettings settings,
                @BindsInstance FleetAdapter adapter,
                @BindsInstance SeedSource seeds);
    }
}
