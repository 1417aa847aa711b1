package org.sequoiahill.protocol.audit;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.sequoiahill.protocol.gen.AuditEntry;

/** Hash chain of audit entries: each entry's hash covers the hash of the previous entry. */
public final class AuditChain {
    /** Previous hash of the first entry of a trail. */
    public static final String FIRST_HASH = "0".repeat(64);

    private AuditChain() {}

    /** Returns the hash over all fields of an entry except the hash itself. */
    public static String hashOf(AuditEntry entry) {
        MessageDigest digest = sha256();
        update(digest, entry.getSequence());
        update(digest, entry.getWhenMillis());
        update(digest, entry.getActor());
        update(digest, entry.getChangeId());
        update(digest, entry.getKind().name());
        update(digest, entry.getName());
        update(digest, entry.getFromRevision());
        update(digest, entry.getToRevision());
        update(digest, entry.getStatus().name());
        update(digest, entry.getDifference().size());
        entry.getDifference().forEach(line -> update(digest, line));
        update(digest, entry.getMessage());
        update(digest, entry.getPreviousHash());
        return HexFormat.of().formatHex(digest.digest());
    }

    /**
     * Checks that entries are consecutive and unaltered. What precedes the first of them is not
     * checked.
     *
     * @param entries entries in the order of their sequence numbers
     * @return the first fault, or empty if the chain is intact
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
            AuditEntry previous = entries.get(i - 1);
            if (entry.getSequence() != previous.getSequence() + 1) {
                return Optional.of("entries are missing behind " + previous.getSequence());
            }
            if (!entry.getPreviousHash().equals(previous.getHash())) {
                return Optional.of("entry " + entry.getSequence() + " follows another entry");
            }
        }
        return Optional.empty();
    }

    private static void update(MessageDigest digest, long number) {
        digest.update(ByteBuffer.allocate(Long.BYTES).putLong(number).flip());
    }

    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        update(digest, bytes.length);
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
