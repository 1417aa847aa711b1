package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.sequoiahill.protocol.gen.LogBatch;
import org.sequoiahill.protocol.gen.LogEntry;
import org.sequoiahill.protocol.gen.LogEntryKind;
import org.sequoiahill.protocol.gen.LogHardState;
import org.sequoiahill.protocol.gen.LogStoreId;

/** Serialises records, and converts their parts to Thrift and back. */
final class StorageCodec {
    private StorageCodec() {}

    static byte[] encode(TBase<?, ?> record) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(record);
        } catch (TException e) {
            throw new IllegalStateException("can't serialise a record", e);
        }
    }

    static <T extends TBase<?, ?>> T decode(T empty, byte[] bytes) throws IOException {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(empty, bytes);
            return empty;
        } catch (TException e) {
            throw new IOException("can't deserialise a record whose CRC is valid", e);
        }
    }

    static byte[] encodeBatch(Optional<HardState> hard, List<Entry> entries) {
        LogBatch batch = new LogBatch(toThrift(entries));
        hard.ifPresent(state -> batch.setHard(toThrift(state)));
        return encode(batch);
    }

    static LogEntry toThrift(Entry entry) {
        LogEntryKind kind = LogEntryKind.valueOf(entry.kind().name());
        return new LogEntry(entry.index(), entry.term(), kind, entry.payload().duplicate());
    }

    static List<LogEntry> toThrift(List<Entry> entries) {
        List<LogEntry> thrift = new ArrayList<>(entries.size());
        entries.forEach(entry -> thrift.add(toThrift(entry)));
        return thrift;
    }

    static Entry fromThrift(LogEntry entry) {
        EntryKind kind = EntryKind.valueOf(entry.getKind().name());
        return new Entry(entry.getIndex(), entry.getTerm(), kind, entry.bufferForPayload().slice());
    }

    static LogStoreId toThrift(StoreId id) {
        return new LogStoreId(id.vm(), id.incarnation());
    }

    static StoreId fromThrift(LogStoreId id) {
        return new StoreId(id.getVm(), id.getIncarnation());
    }

    static HardState fromThrift(LogHardState hard) {
        Optional<StoreId> vote =
                hard.isSetVote() ? Optional.of(fromThrift(hard.getVote())) : Optional.empty();
        return new HardState(hard.getCluster(), hard.getTerm(), vote);
    }

    private static LogHardState toThrift(HardState hard) {
        LogHardState thrift = new LogHardState(hard.cluster(), hard.term());
        hard.vote().ifPresent(vote -> thrift.setVote(toThrift(vote)));
        return thrift;
    }
}
