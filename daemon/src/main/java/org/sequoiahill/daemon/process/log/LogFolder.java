package org.sequoiahill.daemon.process.log;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Files of one folder; what is written lasts only once it is synced. */
public interface LogFolder extends Closeable {
    /** Returns the names of the files. */
    List<String> names() throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Makes an empty file, in the place of any under the same name. */
    LogFile create(String name) throws IOException;

    /** Opens a file to append to it, cut to a length first. */
    LogFile openAt(String name, long length) throws IOException;

    /** Gives a file another name, in the place of any under that name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Syncs the names of the folder. */
    void sync() throws IOException;

    /** A file that is appended to. */
    interface LogFile extends Closeable {
        /**
         * Appends some of the bytes.
         *
         * @return how many were written; may be fewer than remain
         */
        int write(ByteBuffer bytes) throws IOException;

        /** Syncs all that was written; after a failure the content is not known. */
        void sync() throws IOException;
    }
}
