package org.sequoiahill.daemon.process.directory;

import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.ServiceSummary;

/** Adds to a summary how far endpoints have progressed towards the configured version. */
public final class ServiceProgress {
    private ServiceProgress() {}

    /** Adds the progress of one endpoint. */
    public static void add(ServiceSummary summary, Announcement endpoint) {
        long revision = endpoint.getSender().getConfigRevision();
        boolean isFirst = !summary.isSetLowestRevision();
        summary.setVersionName(endpoint.getVersionName());
        summary.setChunksHeld(summary.getChunksHeld() + endpoint.getChunksHeld());
        summary.setChunksStated(summary.getChunksStated() + endpoint.getChunksStated());
        summary.setLowestRevision(
                isFirst ? revision : Math.min(summary.getLowestRevision(), revision));
    }
}
