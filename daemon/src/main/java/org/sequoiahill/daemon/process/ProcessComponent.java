package org.sequoiahill.daemon.process;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.sequoiahill.daemon.process.settings.DaemonSettings;

/** Wires one daemon from its settings. */
@Singleton
@Component(modules = ProcessModule.class)
public interface ProcessComponent {
    /** Returns the daemon. */
    Daemon daemon();

    /** Creates the component. */
    @Component.Factory
    interface Factory {
        /** Returns the component of a daemon with these settings. */
        ProcessComponent create(@BindsInstance DaemonSettings settings);
    }
}
