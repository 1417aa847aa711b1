package org.sequoiahill.daemon.version.staging;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.sequoiahill.protocol.weights.Digests;

/** How a manifest is corrupted on its way. */
enum ManifestCorruption {
    WRONG_DIGEST,
    SWAPPED_DIGESTS,
    ALL_WRONG,
    NOT_A_DIGEST,
    MISSING_LAST,
    ONE_TOO_MANY,
    DIFFERENT_EACH_TIME;

    /** Returns the digests of the given copy of a manifest that has at least five pieces. */
    List<String> apply(List<String> intact, int copy) {
        List<String> digests = new ArrayList<>(intact);
        switch (this) {
            case WRONG_DIGEST -> digests.set(2, Digests.of("wrong"));
            case SWAPPED_DIGESTS -> Collections.swap(digests, 1, 4);
            case ALL_WRONG -> digests.replaceAll(Digests::of);
            case NOT_A_DIGEST -> digests.set(0, "wrong");
            case MISSING_LAST -> digests.remove(digests.size() - 1);
            case ONE_TOO_MANY -> digests.add(Digests.of("wrong"));
            default -> digests.set(copy % digests.size(), Digests.of("wrong" + copy));
        }
        return digests;
    }
}
