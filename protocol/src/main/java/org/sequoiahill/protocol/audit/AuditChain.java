package org.sequoiahill.protocol.audit;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.sequoiahill.protocol.gen.AuditEntry;

/** Hashes of audit entries, each of which covers the hash of the entry before. */
public final class AuditChain {
    /** Hash that the first entry of a trail follows. */
    public static final String FIRST_HASH = "0".repeat(64);

    private AuditChain() {}

    /** Returns the hash of an entry over all its fields but the hash itself. */
    public static String hashOf(AuditEntry entry) {
        MessageDigest sha = sha256();
        update(sha, entry.getSequence());
        update(sha, entry.getWhenMillis());
        update(sha, entry.getActor());
        update(sha, entry.getChangeId());
        update(sha, entry.getKind().name());
        update(sha, entry.getName());
        update(sha, entry.getFromRevision());
        update(sha, entry.getToRevision());
        update(sha, entry.getStatus().name());
        update(sha, entry.getDifference().size());
        entry.getDifference().forEach(line -> update(sha, line));
        update(sha, entry.getMessage());
        update(sha, entry.getPreviousHash());
        return HexFormat.of().formatHex(sha.digest());
    }

    /**
     * Checks that entries follow one another without a gap and are as they were written.
     *
     * @param entries entries in the order of their sequence, none left out
     * @return what is wrong first, or empty where all is whole
     */
    public static Optional<String> firstFault(List<AuditEntry> entries) {
        for (int i = 0; i < entries.size(); i++) {
            AuditEntry entry = entries.get(i);
            if (!hashOf(entry).equals(entry.getHash())) {
                return Optional.of("entry " + entry.getSequence() + " was altered");
            }
            if (i == 0) {
                continue;
            }
            AuditEntry before = entries.get(i - 1);
            if (entry.getSequence() != before.getSequence() + 1) {
                return Optional.of("entries are missing behind " + before.getSequence());
            }
            if (!entry.getPreviousHash().equals(before.getHash())) {
                return Optional.of("entry " + entry.getSequence() + " follows another entry");
            }
        }
        return Optional.empty();
    }

    private static void update(MessageDigest sha, long number) {
        sha.update(ByteBuffer.allocate(Long.BYTES).putLong(number).flip());
    }

    private static void update(MessageDigest sha, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        update(sha, bytes.length);
        sha.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
