package org.sequoiahill.daemon.process.config;

import java.util.List;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.Document;

/** Decides whether a delta may be applied. */
final class DeltaRule {
    private DeltaRule() {}

    /** Decision on a delta. */
    enum Verdict {
        /** It is newer and starts at or before the current revision, so it is applied. */
        TAKEN,
        /** It contains nothing newer. */
        OLD,
        /** It starts after the current revision, so that changes in between would be lost. */
        GAP,
        /** It is inconsistent in itself, through a fault of its source. */
        FAULTY
    }

    static Verdict judge(ConfigurationDelta delta, long currentRevision) {
        if (!isConsistent(delta)) {
            return Verdict.FAULTY;
        }
        if (delta.getToRevision() <= currentRevision) {
            return Verdict.OLD;
        }
        return delta.getAfterRevision() > currentRevision ? Verdict.GAP : Verdict.TAKEN;
    }

    private static boolean isConsistent(ConfigurationDelta delta) {
        List<Document> documents = delta.getDocuments();
        if (documents == null || delta.getAfterRevision() < 0) {
            return false;
        }
        // Each change writes one document, so a document must have the delta's last revision.
        if (delta.getToRevision() > delta.getAfterRevision()
                && documents.stream().noneMatch(d -> hasRevision(d, delta.getToRevision()))) {
            return false;
        }
        return documents.stream().allMatch(document -> isWithin(document, delta));
    }

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
