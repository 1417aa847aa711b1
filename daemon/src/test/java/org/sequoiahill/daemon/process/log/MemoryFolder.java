package org.sequoiahill.daemon.process.log;

import java.io.ByteArrayOutputStream;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A folder in memory; a crash keeps what was synced, and a random part of the rest, in which a byte
 * may be corrupt.
 */
final class MemoryFolder implements LogFolder {
    /** Prefix of the message of every injected failure. */
    static final String INJECTED = "injected: ";

    private static final int NEVER = -1;

    private final RandomGenerator mRandom;
    private Map<String, Content> mNames = new HashMap<>();
    private Map<String, Content> mSyncedNames = new HashMap<>();
    private int mSyncsUntilCrash = NEVER;
    private int mSyncsUntilFailure = NEVER;
    private boolean mAreWritesShort;

    MemoryFolder(RandomGenerator random) {
        mRandom = random;
    }

    /** Thrown when the simulated process crashes during a sync. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final class Content {
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        private int mSynced;

        /**
         * Offset from which a crash may lose bytes even after later syncs, since a sync of them
         * failed.
         */
        private int mLostFrom = Integer.MAX_VALUE;
    }

    /** Makes the sync after a number of further ones crash the process; none if it is negative. */
    void crashAfterSyncs(int syncs) {
        mSyncsUntilCrash = syncs;
    }

    /** Makes the sync after a number of further ones fail; none if it is negative. */
    void failAfterSyncs(int syncs) {
        mSyncsUntilFailure = syncs;
    }

    void useShortWrites(boolean isShort) {
        mAreWritesShort = isShort;
    }

    /**
     * Loses a random part of what was not synced, may corrupt a byte of the other part, and cancels
     * the planned crash and failure.
     */
    void crash() {
        mSyncsUntilCrash = NEVER;
        mSyncsUntilFailure = NEVER;
        if (mRandom.nextBoolean()) {
            mNames = new HashMap<>(mSyncedNames);
        }
        Map<String, Content> kept = new HashMap<>();
        mNames.forEach((name, content) -> kept.put(name, contentAfterCrash(content)));
        mNames = kept;
        mSyncedNames = new HashMap<>(kept);
    }

    /** Returns a copy in which everything is synced. */
    MemoryFolder copy() {
        MemoryFolder copy = new MemoryFolder(mRandom);
        mNames.forEach((name, content) -> copy.mNames.put(name, syncedCopyOf(content)));
        copy.mSyncedNames = new HashMap<>(copy.mNames);
        return copy;
    }

    /** Corrupts a byte of each file with a prefix; a negative offset counts from the end. */
    void corrupt(String prefix, int offset) {
        mNames.replaceAll(
                (name, content) -> {
                    if (!name.startsWith(prefix)) {
                        return content;
                    }
                    byte[] bytes = content.mBytes.toByteArray();
                    int at = offset < 0 ? bytes.length + offset : offset;
                    bytes[at] ^= 0x55;
                    return contentOf(bytes, bytes.length);
                });
    }

    @Override
    public List<String> names() {
        return mNames.keySet().stream().sorted().toList();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return contentOf(name).mBytes.toByteArray();
    }

    @Override
    public LogFile create(String name) {
        Content content = new Content();
        mNames.put(name, content);
        return new MemoryFile(content);
    }

    @Override
    public LogFile openAt(String name, long length) throws IOException {
        byte[] kept = Arrays.copyOf(contentOf(name).mBytes.toByteArray(), (int) length);
        Content content = contentOf(kept, kept.length);
        mNames.put(name, content);
        mSyncedNames.put(name, content);
        return new MemoryFile(content);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        mNames.put(to, contentOf(from));
        mNames.remove(from);
    }

    @Override
    public void delete(String name) {
        mNames.remove(name);
    }

    @Override
    public void sync() throws IOException {
        syncContent(null);
        mSyncedNames = new HashMap<>(mNames);
    }

    @Override
    public void close() {}

    private Content contentOf(String name) throws FileNotFoundException {
        Content content = mNames.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
    }

    private static Content contentOf(byte[] bytes, int synced) {
        Content content = new Content();
        content.mBytes.write(bytes, 0, bytes.length);
        content.mSynced = synced;
        return content;
    }

    private static Content syncedCopyOf(Content content) {
        byte[] bytes = content.mBytes.toByteArray();
        return contentOf(bytes, bytes.length);
    }

    private Content contentAfterCrash(Content content) {
        byte[] bytes = content.mBytes.toByteArray();
        int synced = Math.min(content.mSynced, content.mLostFrom);
        int kept = synced + (synced < bytes.length ? mRandom.nextInt(bytes.length - synced) : 0);
        byte[] left = Arrays.copyOf(bytes, kept);
        if (kept > synced && mRandom.nextBoolean()) {
            left[synced + mRandom.nextInt(kept - synced)] ^= 0x55;
        }
        return contentOf(left, kept);
    }

    private void syncContent(Content content) throws IOException {
        if (mSyncsUntilFailure >= 0 && mSyncsUntilFailure-- == 0) {
            if (content != null) {
                content.mLostFrom = Math.min(content.mLostFrom, content.mSynced);
            }
            throw new IOException(INJECTED + "sync failed");
        }
        boolean isCrash = mSyncsUntilCrash >= 0 && mSyncsUntilCrash-- == 0;
        if (content != null && (!isCrash || mRandom.nextBoolean())) {
            content.mSynced = content.mBytes.size();
        }
        if (isCrash) {
            throw new Crash();
        }
    }

    private final class MemoryFile implements LogFile {
        private final Content mContent;

        MemoryFile(Content content) {
            mContent = content;
        }

        @Override
        public int write(ByteBuffer bytes) {
            int maxLength = bytes.remaining();
            int length =
                    mAreWritesShort && maxLength > 1
                            ? 1 + mRandom.nextInt(maxLength - 1)
                            : maxLength;
            byte[] part = new byte[length];
            bytes.get(part);
            mContent.mBytes.write(part, 0, length);
            return length;
        }

        @Override
        public void sync() throws IOException {
            syncContent(mContent);
        }

        @Override
        public void close() {}
    }
}
