package org.sequoiahill.daemon.process.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.WriteResult;
import org.sequoiahill.protocol.gen.WriteStatus;

/** Applies committed changes to the documents in the order of the log. */
public final class ConfigurationMachine {
    private static final int REMEMBERED_CHANGES = 10_000;

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final Map<String, WriteResult> mResults =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, WriteResult> eldest) {
                    return size() > REMEMBERED_CHANGES;
                }
            };

    private ConfigurationMachine(Identity identity, ConfigurationView view) {
        mIdentity = identity;
        mView = view;
    }

    /** Returns a machine that publishes to a view. */
    public static ConfigurationMachine of(Identity identity, ConfigurationView view) {
        return new ConfigurationMachine(identity, view);
    }

    /** Returns the bytes of a change, as the log holds them. */
    public static byte[] encode(ConfigurationWrite write) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(write);
        } catch (TException e) {
            throw new IllegalStateException("a change held in memory can be written", e);
        }
    }

    /** Applies one committed change; the same change id gets the first answer again. */
    public synchronized WriteResult apply(byte[] payload) {
        ConfigurationWrite write = decode(payload);
        WriteResult earlier = mResults.get(write.getChangeId());
        if (earlier != null) {
            return earlier;
        }
        WriteResult result = decide(write);
        mResults.put(write.getChangeId(), result);
        return result;
    }

    /** Returns the answer to a change that was applied. */
    public synchronized Optional<WriteResult> resultOf(String changeId) {
        return Optional.ofNullable(mResults.get(changeId));
    }

    private WriteResult decide(ConfigurationWrite write) {
        ConfigurationSnapshot snapshot = mView.current();
        DocumentKey key = new DocumentKey(write.getKind(), write.getName());
        Optional<Document> held = snapshot.document(key);
        long heldRevision = held.map(Document::getRevision).orElse(0L);
        if (heldRevision != write.getReplacesRevision()) {
            WriteResult conflict =
                    new WriteResult(mIdentity.sender(), WriteStatus.CONFLICT, heldRevision);
            held.ifPresent(conflict::setWinner);
            return conflict;
        }
        long revision = snapshot.revision() + 1;
        Document document =
                new Document(write.getKind(), write.getName(), revision, write.getBody());
        mView.offer(
                new ConfigurationDelta(
                        mIdentity.sender(), revision, List.of(document), revision - 1));
        return new WriteResult(mIdentity.sender(), WriteStatus.ACCEPTED, revision);
    }

    private static ConfigurationWrite decode(byte[] payload) {
        try {
            ConfigurationWrite write = new ConfigurationWrite();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(write, payload);
            return write;
        } catch (TException e) {
            throw new IllegalStateException("the log holds a change that can't be read", e);
        }
    }
}
