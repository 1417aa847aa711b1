package org.sequoiahill.daemon.process.log;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** A folder of files, whose changes are durable only once they are synced. */
public interface LogFolder extends Closeable {
    /** Returns the names of the files. */
    List<String> names() throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Creates an empty file, replacing any of the same name. */
    LogFile create(String name) throws IOException;

    /**
     * Truncates a file to a length, writes its end again, syncs it, and opens it for appending.
     *
     * <p>Bytes whose sync failed may be lost although they can be read and a later sync succeeds;
     * only bytes that are written again are covered by the next sync.
     *
     * @param writtenAgainFrom offset from which the content is written again
     */
    LogFile openAt(String name, long writtenAgainFrom, long length) throws IOException;

    /** Renames a file, replacing any of the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Syncs which names the folder contains. */
    void sync() throws IOException;

    /** A file open for appending. */
    interface LogFile extends Closeable {
        /**
         * Appends bytes, possibly fewer than remain.
         *
         * @return number of bytes written
         */
        int write(ByteBuffer bytes) throws IOException;

        /** Syncs all bytes written; after a failure the content is unknown. */
        void sync() throws IOException;
    }
}
