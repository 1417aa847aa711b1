package org.sequoiahill.daemon.process.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.protocol.document.DataCentreDocument;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.json.ParseResult;

/**
 * Checks of a change that depend only on the change, the configured limits and the current owner of
 * the document.
 */
final class WriteChecks {
    private static final String ALL_TEAMS = "*";
    private static final int MAX_NAME_CHARS = 128;
    private static final int MAX_MESSAGE_CHARS = 1_000;

    private WriteChecks() {}

    /**
     * Returns whether a received change has all its fields, and a change id, actor and name that
     * are not empty or too long.
     */
    static boolean isComplete(@Nullable ConfigurationWrite write) {
        return write != null
                && isName(write.getChangeId())
                && isName(write.getActor())
                && isName(write.getName())
                && write.getActorTeam() != null
                && write.getKind() != null
                && write.getBody() != null;
    }

    /** Returns why the document of a change is invalid, if it is. */
    static Optional<String> faultOf(ConfigurationWrite write, ConfigurationLimits limits) {
        if (write.getBody().length() > limits.documentCharacters()) {
            return Optional.of("the document exceeds " + limits.documentCharacters() + " bytes");
        }
        if (write.getKind() == DocumentKind.SERVICE) {
            ParseResult<ServiceDocument> checked = ServiceDocument.parse(write.getBody());
            return faultOf(
                    checked, checked.value() == null ? "" : checked.value().service(), write);
        }
        ParseResult<DataCentreDocument> checked = DataCentreDocument.parse(write.getBody());
        return faultOf(checked, checked.value() == null ? "" : checked.value().dataCentre(), write);
    }

    /** Returns whether the actor's team is allowed to make a valid change. */
    static boolean isAllowed(ConfigurationWrite write, Optional<ServiceDocument> current) {
        String team = write.getActorTeam();
        if (team.equals(ALL_TEAMS)) {
            return true;
        }
        if (write.getKind() != DocumentKind.SERVICE) {
            return false;
        }
        String newOwner = ServiceDocument.parse(write.getBody()).orElseThrow().owner();
        return team.equals(newOwner)
                && current.map(ServiceDocument::owner).filter(o -> !o.equals(newOwner)).isEmpty();
    }

    /**
     * Returns a digest of the actor, kind, name and body of a change; a resend of the change has
     * the same digest.
     *
     * <p>The replaced revision is excluded: the first request may have raised the document's
     * revision, and a client that lost the response may have read it again before the resend.
     */
    static byte[] fingerprintOf(ConfigurationWrite write) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            update(sha, write.getActor());
            update(sha, write.getKind().name());
            update(sha, write.getName());
            update(sha, write.getBody());
            return sha.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    static String truncate(String message) {
        return message.length() <= MAX_MESSAGE_CHARS
                ? message
                : message.substring(0, MAX_MESSAGE_CHARS) + "...";
    }

    private static Optional<String> faultOf(
            ParseResult<?> checked, String name, ConfigurationWrite write) {
        if (!checked.isValid()) {
            return Optional.of(checked.describeFaults());
        }
        if (!name.equals(write.getName())) {
            return Optional.of("the document names " + name + ", the path " + write.getName());
        }
        return Optional.empty();
    }

    private static boolean isName(@Nullable String text) {
        return text != null && !text.isEmpty() && text.length() <= MAX_NAME_CHARS;
    }

    private static void update(MessageDigest sha, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        sha.update(bytes);
    }
}
