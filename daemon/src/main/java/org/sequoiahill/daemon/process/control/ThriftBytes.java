package org.sequoiahill.daemon.process.control;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Thrift structs as bytes of the compact protocol, for logs and files. */
public final class ThriftBytes {
    private ThriftBytes() {}

    /** Returns the bytes of a struct. */
    public static byte[] write(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw new IllegalStateException("a struct held in memory can be written", e);
        }
    }

    /**
     * Fills a struct from bytes that {@link #write} has made.
     *
     * @throws IllegalStateException where the bytes hold no such struct
     */
    public static <T extends TBase<T, ?>> T read(T struct, byte[] bytes) {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
            return struct;
        } catch (TException e) {
            throw new IllegalStateException("the bytes hold no " + struct.getClass(), e);
        }
    }
}
