package org.sequoiahill.daemon.process.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.AuditPage;
import org.sequoiahill.protocol.gen.AuditQuery;
import org.sequoiahill.protocol.gen.Configuration;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.ConfigurationFetch;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.Sender;
import org.sequoiahill.protocol.gen.WriteResult;
import org.sequoiahill.protocol.gen.WriteStatus;

/** Thrift service that serves the configuration to other processes, and accepts changes. */
public final class ConfigurationHandler implements Configuration.Iface {
    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ConfigurationSync mSync;
    private final ConfigurationWriter mWriter;
    private final Optional<Function<AuditQuery, AuditPage>> mAudit;

    private ConfigurationHandler(
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            ConfigurationWriter writer,
            Optional<Function<AuditQuery, AuditPage>> audit) {
        mIdentity = identity;
        mView = view;
        mSync = sync;
        mWriter = writer;
        mAudit = audit;
    }

    /**
     * Returns a handler that passes writes to {@code writer}.
     *
     * @param audit reads a page of the audit trail; present only on a store. Without it, audit
     *     queries return an empty page with last sequence -1.
     */
    public static ConfigurationHandler of(
            Identity identity,
            ConfigurationView view,
            ConfigurationSync sync,
            ConfigurationWriter writer,
            Optional<Function<AuditQuery, AuditPage>> audit) {
        return new ConfigurationHandler(identity, view, sync, writer, audit);
    }

    @Override
    public ConfigurationDelta fetch(ConfigurationFetch request) {
        mSync.onSenderRevision(request.getSender());
        return mView.deltaAfter(request.getAfterRevision());
    }

    @Override
    public Sender notify(Sender sender) {
        mSync.onSenderRevision(sender);
        return mIdentity.sender();
    }

    @Override
    public AuditPage audit(AuditQuery query) {
        return mAudit.map(reader -> reader.apply(query))
                .orElseGet(() -> new AuditPage(mIdentity.sender(), List.of(), -1, "", 0, false));
    }

    @Override
    public WriteResult write(ConfigurationWrite request) {
        try {
            return mWriter.write(request).join();
        } catch (CompletionException e) {
            WriteResult result =
                    new WriteResult(
                            mIdentity.sender(),
                            WriteStatus.UNAVAILABLE,
                            mView.current().revision());
            return result.setMessage(String.valueOf(e.getCause()));
        }
    }
}
