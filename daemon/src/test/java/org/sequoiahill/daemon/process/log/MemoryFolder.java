package org.sequoiahill.daemon.process.log;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A folder in memory. A loss of power keeps what was synced; each later write is kept, lost or
 * torn, and each name that was created, renamed or removed is kept or lost by itself.
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
    private boolean mIsFull;

    MemoryFolder(RandomGenerator random) {
        mRandom = random;
    }

    /** Thrown when the simulated process crashes during a sync. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final class Content {
        private byte[] mBytes;
        private byte[] mSynced;

        /**
         * Range of bytes that a loss of power may lose even after later syncs, since a sync of them
         * failed; empty if there are none.
         */
        private int mDroppedFrom;

        private int mDroppedTo;

        Content(byte[] bytes, byte[] synced) {
            mBytes = bytes;
            mSynced = synced;
        }

        static Content ofSynced(byte[] bytes) {
            return new Content(bytes, bytes);
        }

        void syncFailed() {
            int from = Math.min(mBytes.length, mSynced.length);
            mDroppedFrom = mDroppedFrom < mDroppedTo ? Math.min(mDroppedFrom, from) : from;
            mDroppedTo = Math.max(mDroppedTo, mBytes.length);
        }

        void append(byte[] bytes) {
            int length = mBytes.length;
            mBytes = Arrays.copyOf(mBytes, length + bytes.length);
            System.arraycopy(bytes, 0, mBytes, length, bytes.length);
        }

        void truncate(int length) {
            mBytes = Arrays.copyOf(mBytes, length);
            mDroppedTo = Math.min(mDroppedTo, length);
        }
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

    /** Makes every creation and write fail, as on a full disk; a write may leave a part. */
    void fill(boolean isFull) {
        mIsFull = isFull;
    }

    /** Loses power, and cancels the planned crash and failure. */
    void crash() {
        killed();
        boolean areAllLost = mRandom.nextInt(4) == 0;
        Map<String, Content> kept = new HashMap<>();
        Set<String> names = new HashSet<>(mNames.keySet());
        names.addAll(mSyncedNames.keySet());
        for (String name : names) {
            boolean isChangeKept = !areAllLost && mRandom.nextBoolean();
            Content content = (isChangeKept ? mNames : mSyncedNames).get(name);
            if (content != null) {
                kept.put(name, Content.ofSynced(bytesAfterCrash(content, areAllLost)));
            }
        }
        mNames = kept;
        mSyncedNames = new HashMap<>(kept);
    }

    /** Cancels the planned crash and failure; the files stay as the killed process left them. */
    void killed() {
        mSyncsUntilCrash = NEVER;
        mSyncsUntilFailure = NEVER;
    }

    /** Returns a copy in which everything is synced. */
    MemoryFolder copy() {
        MemoryFolder copy = new MemoryFolder(mRandom);
        mNames.forEach((name, content) -> copy.mNames.put(name, Content.ofSynced(content.mBytes)));
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
                    byte[] bytes = content.mBytes.clone();
                    int at = offset < 0 ? bytes.length + offset : offset;
                    bytes[at] ^= 0x55;
                    return Content.ofSynced(bytes);
                });
    }

    @Override
    public List<String> names() {
        return mNames.keySet().stream().sorted().toList();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return contentOf(name).mBytes.clone();
    }

    @Override
    public LogFile create(String name) throws IOException {
        failIfFull();
        Content content = new Content(new byte[0], new byte[0]);
        mNames.put(name, content);
        return new MemoryFile(content);
    }

    @Override
    public LogFile openAt(String name, long writtenAgainFrom, long length) throws IOException {
        Content content = contentOf(name);
        content.truncate((int) length);
        content.mDroppedTo = (int) Math.min(content.mDroppedTo, writtenAgainFrom);
        syncContent(content);
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
        countSync();
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

    private void failIfFull() throws IOException {
        if (mIsFull) {
            throw new IOException(INJECTED + "the disk is full");
        }
    }

    private byte[] bytesAfterCrash(Content content, boolean areAllLost) {
        byte[] bytes = content.mBytes;
        byte[] synced = content.mSynced;
        boolean isTruncated = bytes.length < synced.length;
        byte[] left;
        if (areAllLost || (isTruncated && mRandom.nextBoolean())) {
            left = synced.clone();
        } else if (isTruncated) {
            left = bytes.clone();
        } else {
            left = withPartOfLaterWrites(bytes, synced.length);
        }
        return withoutDropped(left, content);
    }

    private byte[] withPartOfLaterWrites(byte[] bytes, int synced) {
        int later = bytes.length - synced;
        if (later == 0 || mRandom.nextInt(4) == 0) {
            return bytes.clone();
        }
        byte[] left = Arrays.copyOf(bytes, synced + mRandom.nextInt(later + 1));
        if (left.length > synced) {
            int from = synced + mRandom.nextInt(left.length - synced);
            switch (mRandom.nextInt(3)) {
                case 0 -> left[from] ^= 0x55;
                case 1 ->
                        Arrays.fill(
                                left,
                                from,
                                from + mRandom.nextInt(left.length - from + 1),
                                (byte) 0);
                default -> {}
            }
        }
        return left;
    }

    private byte[] withoutDropped(byte[] bytes, Content content) {
        int to = Math.min(content.mDroppedTo, bytes.length);
        if (content.mDroppedFrom >= to || mRandom.nextBoolean()) {
            return bytes;
        }
        if (to == bytes.length) {
            return Arrays.copyOf(bytes, content.mDroppedFrom);
        }
        Arrays.fill(bytes, content.mDroppedFrom, to, (byte) 0);
        return bytes;
    }

    private void syncContent(Content content) throws IOException {
        boolean isKeptByCrash = mRandom.nextBoolean();
        try {
            countSync();
        } catch (IOException e) {
            content.syncFailed();
            throw e;
        } catch (Crash e) {
            if (isKeptByCrash) {
                content.mSynced = content.mBytes;
            }
            throw e;
        }
        content.mSynced = content.mBytes;
    }

    private void countSync() throws IOException {
        if (mSyncsUntilFailure >= 0 && mSyncsUntilFailure-- == 0) {
            throw new IOException(INJECTED + "sync failed");
        }
        if (mSyncsUntilCrash >= 0 && mSyncsUntilCrash-- == 0) {
            throw new Crash();
        }
    }

    private final class MemoryFile implements LogFile {
        private final Content mContent;

        MemoryFile(Content content) {
            mContent = content;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            int maxLength = bytes.remaining();
            boolean isShort = mAreWritesShort || mIsFull;
            int length = isShort && maxLength > 1 ? 1 + mRandom.nextInt(maxLength - 1) : maxLength;
            byte[] part = new byte[length];
            bytes.get(part);
            mContent.append(part);
            failIfFull();
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
