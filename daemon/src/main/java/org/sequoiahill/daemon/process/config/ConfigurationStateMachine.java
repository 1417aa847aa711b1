package org.sequoiahill.daemon.process.config;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.daemon.process.log.StateMachine;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.AuditEntry;
import org.sequoiahill.protocol.gen.AuditPage;
import org.sequoiahill.protocol.gen.AuditQuery;
import org.sequoiahill.protocol.gen.ChangeAnswer;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.ConfigurationProposal;
import org.sequoiahill.protocol.gen.ConfigurationState;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.gen.VersionBinding;
import org.sequoiahill.protocol.gen.WriteResult;
import org.sequoiahill.protocol.gen.WriteStatus;

/**
 * State machine of the log of group {@code config}: documents, first results of changes, versions
 * bound to manifests, and the audit trail.
 *
 * <p>The state depends on the applied proposals only. It is published to a view, which may be ahead
 * of it on a store that is catching up.
 */
public final class ConfigurationStateMachine implements StateMachine {
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_KEPT_RESULTS = 1_024;

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ConfigurationLimits mLimits;
    private final ChangeResults mChangeResults;
    private final AuditTrail mAudit;
    private final Map<VersionKey, String> mDigestsByVersion = new LinkedHashMap<>();
    private final Map<Long, WriteResult> mResultsByIndex =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, WriteResult> eldest) {
                    return size() > MAX_KEPT_RESULTS;
                }
            };
    private ConfigurationSnapshot mState = ConfigurationSnapshot.empty();
    private long mNowMillis;

    private ConfigurationStateMachine(
            Identity identity, ConfigurationView view, ConfigurationLimits limits) {
        mIdentity = identity;
        mView = view;
        mLimits = limits;
        mChangeResults = new ChangeResults(limits.results(), limits.resultCharacters());
        mAudit = new AuditTrail(limits.auditEntries(), limits.auditCharacters());
    }

    /** Returns a state machine without documents that publishes to a view. */
    public static ConfigurationStateMachine of(
            Identity identity, ConfigurationView view, ConfigurationLimits limits) {
        return new ConfigurationStateMachine(identity, view, limits);
    }

    @Override
    public synchronized void apply(long index, byte[] payload) {
        ConfigurationProposal proposal = ThriftBytes.read(new ConfigurationProposal(), payload);
        mNowMillis = Math.max(mNowMillis, proposal.getProposedAtMillis());
        mResultsByIndex.put(index, resultOf(proposal.getWrite()));
    }

    @Override
    public synchronized byte[] snapshot() {
        ConfigurationState state =
                new ConfigurationState(
                        FORMAT_VERSION,
                        mState.revision(),
                        mState.sortedDocuments(),
                        mChangeResults.all(),
                        mDigestsByVersion.entrySet().stream()
                                .map(ConfigurationStateMachine::toBinding)
                                .toList(),
                        mAudit.entries(),
                        mAudit.lastSequence(),
                        mAudit.lastHash(),
                        mNowMillis);
        return ThriftBytes.write(state);
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        ConfigurationState state = ThriftBytes.read(new ConfigurationState(), snapshot);
        if (state.getFormatVersion() != FORMAT_VERSION) {
            throw new IllegalStateException(
                    "the configuration snapshot has format version "
                            + state.getFormatVersion()
                            + ", this program reads "
                            + FORMAT_VERSION);
        }
        mState = ConfigurationSnapshot.empty().with(state.getRevision(), state.getDocuments());
        mChangeResults.restore(state.getAnswers());
        mDigestsByVersion.clear();
        state.getVersions()
                .forEach(v -> mDigestsByVersion.put(VersionKey.of(v), v.getManifestDigest()));
        mAudit.restore(state.getAudit(), state.getLastSequence(), state.getLastHash());
        mNowMillis = state.getNowMillis();
        mResultsByIndex.clear();
        publish(0, state.getDocuments());
    }

    /** Returns the result of the proposal at an index; only the newest thousand are kept. */
    public synchronized Optional<WriteResult> resultAt(long index) {
        return Optional.ofNullable(mResultsByIndex.get(index))
                .map(result -> new WriteResult(result).setSender(mIdentity.sender()));
    }

    /** Returns the number of documents. */
    public synchronized int documentCount() {
        return mState.documentCount();
    }

    /** Returns the first entries of the audit trail that match a query, up to its limit. */
    public synchronized AuditPage audit(AuditQuery query) {
        return mAudit.page(query, mIdentity.sender());
    }

    private WriteResult resultOf(ConfigurationWrite write) {
        if (!WriteChecks.isComplete(write)) {
            return refusal(WriteStatus.INVALID, "the change lacks a field or a field is too long");
        }
        byte[] fingerprint = WriteChecks.fingerprintOf(write);
        Optional<ChangeAnswer> earlier = mChangeResults.find(write.getChangeId());
        if (earlier.isPresent() && Arrays.equals(earlier.get().getFingerprint(), fingerprint)) {
            return earlier.get().getResult();
        }
        Optional<Document> current = mState.document(keyOf(write));
        if (earlier.isPresent()) {
            String fault = "change id " + write.getChangeId() + " was used for another change";
            WriteResult result = refusal(WriteStatus.INVALID, fault);
            record(write, current, result);
            return result;
        }
        WriteResult result = decide(write, current);
        record(write, current, result);
        mChangeResults.add(
                new ChangeAnswer(write.getChangeId(), ByteBuffer.wrap(fingerprint), result));
        return result;
    }

    private WriteResult decide(ConfigurationWrite write, Optional<Document> current) {
        Optional<String> fault =
                WriteChecks.faultOf(write, mLimits).or(() -> limitFault(write, current));
        if (fault.isPresent()) {
            return refusal(WriteStatus.INVALID, fault.get());
        }
        if (!WriteChecks.isAllowed(write, mState.service(write.getName()))) {
            return refusal(WriteStatus.FORBIDDEN, "the document belongs to another team");
        }
        long currentRevision = current.map(Document::getRevision).orElse(0L);
        if (currentRevision != write.getReplacesRevision()) {
            WriteResult conflict = new WriteResult(null, WriteStatus.CONFLICT, currentRevision);
            conflict.setMessage("revision " + currentRevision + " is in force");
            current.ifPresent(conflict::setWinner);
            return conflict;
        }
        return accept(write);
    }

    private WriteResult accept(ConfigurationWrite write) {
        long revision = mState.revision() + 1;
        Document document =
                new Document(write.getKind(), write.getName(), revision, write.getBody());
        mState = mState.with(revision, List.of(document));
        versionOf(write).ifPresent(v -> mDigestsByVersion.put(v.key(), v.digest()));
        publish(revision - 1, List.of(document));
        return new WriteResult(null, WriteStatus.ACCEPTED, revision);
    }

    /**
     * Returns which limit a change would exceed, or which bound version it would change, if any.
     */
    private Optional<String> limitFault(ConfigurationWrite write, Optional<Document> current) {
        int currentCharacters = current.map(document -> document.getBody().length()).orElse(0);
        if (current.isEmpty() && mState.documentCount() >= mLimits.documents()) {
            return Optional.of("there are " + mLimits.documents() + " documents, the most allowed");
        }
        if (mState.characters() - currentCharacters + write.getBody().length()
                > mLimits.totalCharacters()) {
            return Optional.of(
                    "all documents together would exceed " + mLimits.totalCharacters() + " bytes");
        }
        return versionOf(write).flatMap(this::bindingFault);
    }

    /** Returns why a version can't be bound to its manifest, if so; a binding never changes. */
    private Optional<String> bindingFault(BoundVersion version) {
        String bound = mDigestsByVersion.get(version.key());
        if (bound == null && mDigestsByVersion.size() >= mLimits.versions()) {
            return Optional.of(mLimits.versions() + " versions are bound, the most allowed");
        }
        if (bound == null || bound.equals(version.digest())) {
            return Optional.empty();
        }
        return Optional.of(
                "version " + version.key().version() + " is bound to the manifest " + bound);
    }

    private static Optional<BoundVersion> versionOf(ConfigurationWrite write) {
        if (write.getKind() != DocumentKind.SERVICE) {
            return Optional.empty();
        }
        return ServiceDocument.parse(write.getBody())
                .orElseThrow()
                .version()
                .map(
                        v ->
                                new BoundVersion(
                                        new VersionKey(write.getName(), v.name()),
                                        v.manifestDigest()));
    }

    private void record(ConfigurationWrite write, Optional<Document> current, WriteResult result) {
        String before = current.map(Document::getBody).orElse("");
        boolean isAccepted = result.getStatus() == WriteStatus.ACCEPTED;
        mAudit.add(
                new AuditEntry()
                        .setWhenMillis(mNowMillis)
                        .setActor(write.getActor())
                        .setChangeId(write.getChangeId())
                        .setKind(write.getKind())
                        .setName(write.getName())
                        .setFromRevision(write.getReplacesRevision())
                        .setToRevision(isAccepted ? result.getRevision() : 0)
                        .setStatus(result.getStatus())
                        .setDifference(DocumentDifference.between(before, write.getBody()))
                        .setMessage(result.isSetMessage() ? result.getMessage() : ""));
    }

    private WriteResult refusal(WriteStatus status, String message) {
        return new WriteResult(null, status, mState.revision())
                .setMessage(WriteChecks.truncate(message));
    }

    private void publish(long afterRevision, List<Document> documents) {
        mView.offer(
                new ConfigurationDelta(
                        mIdentity.sender(), mState.revision(), documents, afterRevision));
    }

    private static DocumentKey keyOf(ConfigurationWrite write) {
        return new DocumentKey(write.getKind(), write.getName());
    }

    private static VersionBinding toBinding(Map.Entry<VersionKey, String> entry) {
        VersionKey key = entry.getKey();
        return new VersionBinding(key.service(), key.version(), entry.getValue());
    }

    private record VersionKey(String service, String version) {
        static VersionKey of(VersionBinding binding) {
            return new VersionKey(binding.getServiceName(), binding.getVersionName());
        }
    }

    private record BoundVersion(VersionKey key, String digest) {}
}
