package org.sequoiahill.daemon.process.config;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.daemon.process.files.SyncedFiles;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.tinylog.Logger;

/**
 * A file with the newest configuration, which each save replaces atomically.
 *
 * <p>It consists of a magic number, the format version, the length and CRC of the content, and the
 * content.
 */
public final class ConfigurationFile implements ConfigurationStorage {
    private static final String NAME = "configuration";
    private static final int MAGIC = 0x53_51_43_46;
    private static final int FORMAT_VERSION = 1;
    private static final int HEADER_BYTES = 4 * Integer.BYTES;
    private static final int MAX_BYTES = 64 << 20;

    private final Path mFolder;
    private final Path mFile;

    private ConfigurationFile(Path folder) {
        mFolder = folder;
        mFile = folder.resolve(NAME);
    }

    /** Returns the file in a folder; the first save creates both. */
    public static ConfigurationFile in(Path folder) {
        return new ConfigurationFile(folder);
    }

    @Override
    public Optional<ConfigurationDelta> load() throws IOException {
        if (!Files.exists(mFile)) {
            return Optional.empty();
        }
        try {
            return Optional.of(read());
        } catch (DamagedFileException e) {
            Path aside = mFolder.resolve(NAME + ".damaged");
            Files.move(mFile, aside, StandardCopyOption.REPLACE_EXISTING);
            Logger.error("{}; moved it to {}", e.getMessage(), aside);
            throw e;
        }
    }

    @Override
    public void save(ConfigurationDelta configuration) throws IOException {
        byte[] content = ThriftBytes.write(configuration);
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + content.length);
        buffer.putInt(MAGIC).putInt(FORMAT_VERSION).putInt(content.length).putInt(crcOf(content));
        buffer.put(content).flip();
        SyncedFiles.replace(mFile, buffer);
    }

    private ConfigurationDelta read() throws IOException {
        if (Files.size(mFile) > MAX_BYTES) {
            throw damaged("is larger than " + MAX_BYTES + " bytes");
        }
        ByteBuffer buffer = ByteBuffer.wrap(Files.readAllBytes(mFile));
        if (buffer.remaining() < HEADER_BYTES || buffer.getInt() != MAGIC) {
            throw damaged("is not a configuration file");
        }
        int version = buffer.getInt();
        if (version != FORMAT_VERSION) {
            throw damaged(
                    "has format version " + version + ", this program reads " + FORMAT_VERSION);
        }
        int length = buffer.getInt();
        int crc = buffer.getInt();
        if (length != buffer.remaining()) {
            throw damaged("holds " + buffer.remaining() + " bytes instead of " + length);
        }
        byte[] content = new byte[length];
        buffer.get(content);
        if (crcOf(content) != crc) {
            throw damaged("has a checksum that does not match its content");
        }
        return ThriftBytes.read(new ConfigurationDelta(), content);
    }

    private DamagedFileException damaged(String fault) {
        return new DamagedFileException(mFile + " " + fault);
    }

    private static int crcOf(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return (int) crc.getValue();
    }

    /** Thrown if the file is damaged or of an unknown format. */
    private static final class DamagedFileException extends IOException {
        DamagedFileException(String message) {
            super(message);
        }
    }
}
