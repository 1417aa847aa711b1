package org.sequoiahill.daemon.process.control;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Serializes Thrift structs with the compact protocol, for logs and files. */
public final class ThriftBytes {
    private ThriftBytes() {}

    /** Serializes a struct. */
    public static byte[] write(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw new IllegalStateException("a Thrift struct can't be serialized", e);
        }
    }

    /**
     * Fills a struct from bytes that {@link #write} returned.
     *
     * @throws IllegalStateException if the bytes do not hold such a struct
     */
    public static <T extends TBase<T, ?>> T read(T struct, byte[] bytes) {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
            return struct;
        } catch (TException e) {
            throw new IllegalStateException("the bytes are not a valid " + struct.getClass(), e);
        }
    }
}
