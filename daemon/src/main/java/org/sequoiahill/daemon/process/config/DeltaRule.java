package org.sequoiahill.daemon.process.config;

import java.util.List;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.Document;

/** Decides whether a delta may be taken in. */
final class DeltaRule {
    private DeltaRule() {}

    /** What becomes of a delta. */
    enum Verdict {
        /** It is newer and fits on what is held. */
        TAKEN,
        /** It brings nothing newer. */
        OLD,
        /** It starts behind what is held, so that changes between would be lost. */
        GAP,
        /** It contradicts itself; its source is at fault. */
        FAULTY
    }

    static Verdict judge(ConfigurationDelta delta, long heldRevision) {
        if (!isConsistent(delta)) {
            return Verdict.FAULTY;
        }
        if (delta.getToRevision() <= heldRevision) {
            return Verdict.OLD;
        }
        return delta.getAfterRevision() > heldRevision ? Verdict.GAP : Verdict.TAKEN;
    }

    private static boolean isConsistent(ConfigurationDelta delta) {
        List<Document> documents = delta.getDocuments();
        if (documents == null || delta.getAfterRevision() < 0) {
            return false;
        }
        if (delta.getToRevision() > delta.getAfterRevision()
                && documents.stream().noneMatch(d -> hasRevision(d, delta.getToRevision()))) {
            return false;
        }
        return documents.stream().allMatch(document -> isWithin(document, delta));
    }

    /** The newest revision is that of the newest document, as each change writes one. */
    private static boolean hasRevision(Document document, long revision) {
        return document != null && document.getRevision() == revision;
    }

    private static boolean isWithin(Document document, ConfigurationDelta delta) {
        return document != null
                && document.getKind() != null
                && document.getName() != null
                && document.getBody() != null
                && document.getRevision() > delta.getAfterRevision()
                && document.getRevision() <= delta.getToRevision();
    }
}
