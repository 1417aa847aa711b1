package org.sequoiahill.daemon.process.claims;

import org.jspecify.annotations.Nullable;
import org.sequoiahill.protocol.gen.ClaimCommand;
import org.sequoiahill.protocol.gen.ClaimKey;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.Outcome;

/** Checks that a received command has all its fields, within their limits. */
final class ClaimChecks {
    private static final int MAX_NAME_CHARS = 256;
    private static final int MAX_DIGEST_BYTES = 64;

    private ClaimChecks() {}

    static boolean isComplete(ClaimCommand command) {
        if (command.isSetClaim()) {
            return isComplete(command.getClaim()) && command.getClaim().isSetContentDigest();
        }
        if (command.isSetLookUp()) {
            return isComplete(command.getLookUp().getKey());
        }
        if (command.isSetRelease()) {
            return isComplete(command.getRelease().getKey());
        }
        return command.isSetComplete() && isComplete(command.getComplete());
    }

    private static boolean isComplete(ClaimRequest request) {
        byte[] digest = request.getContentDigest();
        return isComplete(request.getKey())
                && isName(request.getAgentVm())
                && digest != null
                && digest.length <= MAX_DIGEST_BYTES;
    }

    private static boolean isComplete(CompleteRequest request) {
        Outcome outcome = request.getOutcome();
        return isComplete(request.getKey())
                && (outcome == null
                        || (isName(outcome.getContentType()) && outcome.getBody() != null));
    }

    private static boolean isComplete(@Nullable ClaimKey key) {
        return key != null
                && isName(key.getOrganisation())
                && isName(key.getServiceName())
                && isName(key.getRoute())
                && isName(key.getIdempotencyKey());
    }

    private static boolean isName(@Nullable String text) {
        return text != null && text.length() <= MAX_NAME_CHARS;
    }
}
