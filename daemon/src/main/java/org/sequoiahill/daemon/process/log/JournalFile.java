package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** A file of records, each with its length and CRC; a record counts once it is synced. */
public final class JournalFile implements AutoCloseable {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;

    private final FileChannel mChannel;

    private JournalFile(FileChannel channel) {
        mChannel = channel;
    }

    /**
     * Opens a file, gives its records to {@code records}, and cuts a torn tail.
     *
     * @throws IOException where the file can't be read or written
     */
    public static JournalFile open(Path path, List<byte[]> records) throws IOException {
        Path folder = path.toAbsolutePath().getParent();
        if (folder != null) {
            Files.createDirectories(folder);
        }
        FileChannel channel =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        ByteBuffer content = ByteBuffer.allocate((int) channel.size());
        while (content.hasRemaining() && channel.read(content) >= 0) {
            // Reads on until the whole file is in memory.
        }
        content.flip();
        List<byte[]> read = readRecords(content);
        channel.truncate(content.position());
        channel.position(content.position());
        records.addAll(read);
        return new JournalFile(channel);
    }

    /**
     * Appends records and syncs them.
     *
     * @throws IOException where the file can't be written; the file must not be used any more
     */
    public void append(List<byte[]> records) throws IOException {
        for (byte[] record : records) {
            ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + record.length);
            buffer.putInt(record.length).putInt(crcOf(record)).put(record).flip();
            while (buffer.hasRemaining()) {
                mChannel.write(buffer);
            }
        }
        mChannel.force(true);
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }

    private static List<byte[]> readRecords(ByteBuffer content) {
        List<byte[]> records = new ArrayList<>();
        while (content.remaining() >= HEADER_BYTES) {
            int start = content.position();
            int length = content.getInt();
            int crc = content.getInt();
            if (length < 0 || length > content.remaining()) {
                content.position(start);
                break;
            }
            byte[] record = new byte[length];
            content.get(record);
            if (crcOf(record) != crc) {
                content.position(start);
                break;
            }
            records.add(record);
        }
        return records;
    }

    private static int crcOf(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }
}
