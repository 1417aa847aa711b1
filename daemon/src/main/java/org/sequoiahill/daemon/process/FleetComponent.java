package org.sequoiahill.daemon.process;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.sequoiahill.daemon.process.settings.FleetSettings;

/** Builds a daemon that finds the others by seeds. */
@Singleton
@Component(modules = FleetModule.class)
public interface FleetComponent {
    /** Returns the daemon. */
    FleetDaemon daemon();

    /** Takes what only the process knows. */
    @Component.Factory
    interface Factory {
        /** Returns the component of one process. */
        FleetComponent create(
                @BindsInstance FleetSettings settings,
                @BindsInstance FleetAdapter adapter,
                @BindsInstance SeedSource seeds);
    }
}
