package org.sequoiahill.daemon.process.config;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.protocol.gen.ChangeAnswer;
import org.sequoiahill.protocol.gen.WriteResult;

/** First answers by change id, the oldest forgotten over a bound. */
final class ChangeAnswers {
    private static final int OVERHEAD_BYTES = 128;

    private final int mMaxAnswers;
    private final long mMaxBytes;
    private final Map<String, ChangeAnswer> mAnswers = new LinkedHashMap<>();
    private long mBytes;

    ChangeAnswers(int maxAnswers, long maxBytes) {
        mMaxAnswers = maxAnswers;
        mMaxBytes = maxBytes;
    }

    Optional<ChangeAnswer> find(String changeId) {
        return Optional.ofNullable(mAnswers.get(changeId));
    }

    void add(ChangeAnswer answer) {
        mAnswers.put(answer.getChangeId(), answer);
        mBytes += bytesOf(answer);
        Iterator<ChangeAnswer> oldest = mAnswers.values().iterator();
        while (mAnswers.size() > 1 && (mAnswers.size() > mMaxAnswers || mBytes > mMaxBytes)) {
            mBytes -= bytesOf(oldest.next());
            oldest.remove();
        }
    }

    List<ChangeAnswer> all() {
        return new ArrayList<>(mAnswers.values());
    }

    void restore(List<ChangeAnswer> answers) {
        mAnswers.clear();
        mBytes = 0;
        answers.forEach(this::add);
    }

    private static long bytesOf(ChangeAnswer answer) {
        WriteResult result = answer.getResult();
        long bytes = (long) OVERHEAD_BYTES + answer.getChangeId().length();
        bytes += result.isSetMessage() ? result.getMessage().length() : 0;
        return bytes + (result.isSetWinner() ? result.getWinner().getBody().length() : 0);
    }
}
