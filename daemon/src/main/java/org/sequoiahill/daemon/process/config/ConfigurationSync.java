package org.sequoiahill.daemon.process.config;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.protocol.gen.ConfigurationFetch;
import org.sequoiahill.protocol.gen.Sender;
import org.tinylog.Logger;

/** Keeps the configuration of this process near the newest one by asking its sources. */
public final class ConfigurationSync {
    private static final Duration PULL_INTERVAL = Duration.ofSeconds(1);

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ControlClient mClient;
    private final List<HostPort> mSources;
    private final ScheduledExecutorService mScheduler;
    private final AtomicInteger mNext = new AtomicInteger();

    private ConfigurationSync(
            Identity identity,
            ConfigurationView view,
            ControlClient client,
            List<HostPort> sources,
            ScheduledExecutorService scheduler) {
        mIdentity = identity;
        mView = view;
        mClient = client;
        mSources = sources;
        mScheduler = scheduler;
    }

    /** Returns a synchroniser that asks the sources in turn once it is started. */
    public static ConfigurationSync of(
            Identity identity,
            ConfigurationView view,
            ControlClient client,
            List<HostPort> sources,
            ScheduledExecutorService scheduler) {
        return new ConfigurationSync(identity, view, client, List.copyOf(sources), scheduler);
    }

    /** Starts to ask a source every interval. */
    public void start() {
        Periodic.every(mScheduler, PULL_INTERVAL, "pull configuration", this::pull);
    }

    /** Notes a message; where its sender is ahead, a source is asked at once. */
    public void heardOf(Sender sender) {
        if (sender.getConfigRevision() > mView.current().revision()) {
            mScheduler.execute(this::pull);
        }
    }

    /** Asks the next source for what changed. */
    void pull() {
        if (mSources.isEmpty()) {
            return;
        }
        HostPort source = mSources.get(Math.floorMod(mNext.getAndIncrement(), mSources.size()));
        long held = mView.current().revision();
        mClient.call(
                        source,
                        ServiceStub.CONFIGURATION,
                        client -> client.fetch(new ConfigurationFetch(mIdentity.sender(), held)))
                .whenComplete(
                        (delta, failure) -> {
                            if (failure != null) {
                                Logger.debug("configuration source {} failed: {}", source, failure);
                            } else if (mView.offer(delta)) {
                                Logger.info(
                                        "configuration revision {} in force",
                                        delta.getToRevision());
                            }
                        });
    }
}
