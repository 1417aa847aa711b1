package org.sequoiahill.daemon.process.config;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.protocol.gen.ChangeAnswer;
import org.sequoiahill.protocol.gen.WriteResult;

/**
 * Remembers the result of each change by its id, so that a change that is sent again gets the same
 * result. Evicts the oldest results beyond its limits. The caller adds each id once.
 */
final class ChangeResults {
    private static final int RESULT_OVERHEAD_CHARACTERS = 128;

    private final int mMaxResults;
    private final long mMaxCharacters;
    private final Map<String, ChangeAnswer> mResults = new LinkedHashMap<>();
    private long mCharacters;

    ChangeResults(int maxResults, long maxCharacters) {
        mMaxResults = maxResults;
        mMaxCharacters = maxCharacters;
    }

    Optional<ChangeAnswer> find(String changeId) {
        return Optional.ofNullable(mResults.get(changeId));
    }

    void add(ChangeAnswer answer) {
        mResults.put(answer.getChangeId(), answer);
        mCharacters += charactersOf(answer);
        Iterator<ChangeAnswer> oldest = mResults.values().iterator();
        while (mResults.size() > 1
                && (mResults.size() > mMaxResults || mCharacters > mMaxCharacters)) {
            mCharacters -= charactersOf(oldest.next());
            oldest.remove();
        }
    }

    List<ChangeAnswer> all() {
        return new ArrayList<>(mResults.values());
    }

    void restore(List<ChangeAnswer> answers) {
        mResults.clear();
        mCharacters = 0;
        answers.forEach(this::add);
    }

    private static long charactersOf(ChangeAnswer answer) {
        WriteResult result = answer.getResult();
        long characters = (long) RESULT_OVERHEAD_CHARACTERS + answer.getChangeId().length();
        characters += result.isSetMessage() ? result.getMessage().length() : 0;
        return characters + (result.isSetWinner() ? result.getWinner().getBody().length() : 0);
    }
}
