package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.StandardOpenOption;
import java.nio.file.WatchService;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.attribute.UserPrincipalLookupService;
import java.nio.file.spi.FileSystemProvider;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * A view of real files that records which contents and names have not been synced, and fails a
 * chosen operation as if the process was killed before it.
 */
final class RecordingFileSystem extends FileSystem {
    private static final int NEVER = Integer.MAX_VALUE;

    private final FileSystem mReal;
    private final Provider mProvider = new Provider();
    private final Set<Path> mUnsyncedContents = new TreeSet<>();
    private final Set<Path> mUnsyncedNames = new TreeSet<>();
    private int mOperationsUntilKill = NEVER;
    private int mOperations;

    private RecordingFileSystem(FileSystem real) {
        mReal = real;
    }

    static RecordingFileSystem over(Path real) {
        return new RecordingFileSystem(real.getFileSystem());
    }

    /** Thrown in place of the operation before which the process is killed. */
    static final class Killed extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** Returns the recorded view of a real path. */
    Path view(Path real) {
        Object proxy =
                Proxy.newProxyInstance(
                        RecordingFileSystem.class.getClassLoader(),
                        new Class<?>[] {Path.class, View.class},
                        (self, method, arguments) -> call(real, method, arguments));
        return (Path) proxy;
    }

    /** Kills the process before an operation that changes or syncs files, counted from now. */
    void killBefore(int operation) {
        mOperations = 0;
        mOperationsUntilKill = operation;
    }

    void neverKill() {
        mOperationsUntilKill = NEVER;
    }

    /** Returns the files with contents that a loss of power may lose. */
    Set<Path> unsyncedContents() {
        return mUnsyncedContents;
    }

    /** Returns the created or renamed files and folders whose names a loss of power may lose. */
    Set<Path> unsyncedNames() {
        return mUnsyncedNames;
    }

    private void countOperation() throws IOException {
        if (mOperations++ >= mOperationsUntilKill) {
            throw new Killed();
        }
    }

    private interface View {
        Path real();
    }

    private @Nullable Object call(Path real, Method method, Object @Nullable [] arguments)
            throws Throwable {
        if (method.getName().equals("real")) {
            return real;
        }
        if (method.getName().equals("getFileSystem")) {
            return this;
        }
        Object[] unwrapped =
                arguments == null
                        ? new Object[0]
                        : Arrays.stream(arguments).map(RecordingFileSystem::unwrap).toArray();
        try {
            Object result = method.invoke(real, unwrapped);
            return result instanceof Path path ? view(path) : result;
        } catch (InvocationTargetException e) {
            throw e.getTargetException();
        }
    }

    private static Object unwrap(Object argument) {
        return argument instanceof View view ? view.real() : argument;
    }

    private static Path real(Path path) {
        return path instanceof View view ? view.real() : path;
    }

    @Override
    public FileSystemProvider provider() {
        return mProvider;
    }

    @Override
    public void close() {}

    @Override
    public boolean isOpen() {
        return true;
    }

    @Override
    public boolean isReadOnly() {
        return false;
    }

    @Override
    public String getSeparator() {
        return mReal.getSeparator();
    }

    @Override
    public Iterable<Path> getRootDirectories() {
        return mReal.getRootDirectories();
    }

    @Override
    public Iterable<FileStore> getFileStores() {
        return mReal.getFileStores();
    }

    @Override
    public Set<String> supportedFileAttributeViews() {
        return mReal.supportedFileAttributeViews();
    }

    @Override
    public Path getPath(String first, String... more) {
        return view(mReal.getPath(first, more));
    }

    @Override
    public PathMatcher getPathMatcher(String syntaxAndPattern) {
        return mReal.getPathMatcher(syntaxAndPattern);
    }

    @Override
    public UserPrincipalLookupService getUserPrincipalLookupService() {
        return mReal.getUserPrincipalLookupService();
    }

    @Override
    public WatchService newWatchService() throws IOException {
        return mReal.newWatchService();
    }

    private final class Provider extends FileSystemProvider {
        private FileSystemProvider realProvider() {
            return mReal.provider();
        }

        @Override
        public FileChannel newFileChannel(
                Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
                throws IOException {
            Path file = real(path);
            boolean isNew = !Files.exists(file);
            if (isNew || options.contains(StandardOpenOption.TRUNCATE_EXISTING)) {
                countOperation();
            }
            FileChannel channel = realProvider().newFileChannel(file, options, attributes);
            if (isNew) {
                mUnsyncedNames.add(file);
            } else if (options.contains(StandardOpenOption.TRUNCATE_EXISTING)) {
                mUnsyncedContents.add(file);
            }
            return new Channel(file, channel);
        }

        @Override
        public void createDirectory(Path path, FileAttribute<?>... attributes) throws IOException {
            countOperation();
            realProvider().createDirectory(real(path), attributes);
            mUnsyncedNames.add(real(path));
        }

        @Override
        public void delete(Path path) throws IOException {
            countOperation();
            realProvider().delete(real(path));
            mUnsyncedNames.remove(real(path));
            mUnsyncedContents.remove(real(path));
        }

        @Override
        public void move(Path from, Path to, CopyOption... options) throws IOException {
            countOperation();
            realProvider().move(real(from), real(to), options);
            mUnsyncedNames.remove(real(from));
            mUnsyncedNames.add(real(to));
            mUnsyncedContents.remove(real(to));
            if (mUnsyncedContents.remove(real(from))) {
                mUnsyncedContents.add(real(to));
            }
        }

        @Override
        public DirectoryStream<Path> newDirectoryStream(
                Path folder, DirectoryStream.Filter<? super Path> filter) throws IOException {
            return realProvider().newDirectoryStream(real(folder), filter);
        }

        @Override
        public SeekableByteChannel newByteChannel(
                Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
                throws IOException {
            return newFileChannel(path, options, attributes);
        }

        @Override
        public void checkAccess(Path path, AccessMode... modes) throws IOException {
            realProvider().checkAccess(real(path), modes);
        }

        @Override
        public <A extends BasicFileAttributes> A readAttributes(
                Path path, Class<A> type, LinkOption... options) throws IOException {
            return realProvider().readAttributes(real(path), type, options);
        }

        @Override
        public Map<String, Object> readAttributes(
                Path path, String attributes, LinkOption... options) throws IOException {
            return realProvider().readAttributes(real(path), attributes, options);
        }

        @Override
        public <V extends FileAttributeView> V getFileAttributeView(
                Path path, Class<V> type, LinkOption... options) {
            return realProvider().getFileAttributeView(real(path), type, options);
        }

        @Override
        public boolean isSameFile(Path first, Path second) throws IOException {
            return realProvider().isSameFile(real(first), real(second));
        }

        @Override
        public boolean isHidden(Path path) throws IOException {
            return realProvider().isHidden(real(path));
        }

        @Override
        public String getScheme() {
            return "recorded";
        }

        @Override
        public FileSystem newFileSystem(URI uri, Map<String, ?> settings) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileSystem getFileSystem(URI uri) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Path getPath(URI uri) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileStore getFileStore(Path path) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void copy(Path from, Path to, CopyOption... options) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void setAttribute(Path path, String attribute, Object value, LinkOption... options) {
            throw new UnsupportedOperationException();
        }
    }

    private final class Channel extends FileChannel {
        private final Path mFile;
        private final FileChannel mChannel;

        Channel(Path file, FileChannel channel) {
            mFile = file;
            mChannel = channel;
        }

        private void willChange() throws IOException {
            countOperation();
            mUnsyncedContents.add(mFile);
        }

        @Override
        public void force(boolean isMetadataForced) throws IOException {
            countOperation();
            mChannel.force(isMetadataForced);
            mUnsyncedContents.remove(mFile);
            if (Files.isDirectory(mFile)) {
                mUnsyncedNames.removeIf(name -> mFile.equals(name.getParent()));
            }
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            willChange();
            return mChannel.write(source);
        }

        @Override
        public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
            willChange();
            return mChannel.write(sources, offset, length);
        }

        @Override
        public int write(ByteBuffer source, long position) throws IOException {
            willChange();
            return mChannel.write(source, position);
        }

        @Override
        public FileChannel truncate(long size) throws IOException {
            willChange();
            mChannel.truncate(size);
            return this;
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            return mChannel.read(target);
        }

        @Override
        public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
            return mChannel.read(targets, offset, length);
        }

        @Override
        public int read(ByteBuffer target, long position) throws IOException {
            return mChannel.read(target, position);
        }

        @Override
        public long position() throws IOException {
            return mChannel.position();
        }

        @Override
        public FileChannel position(long position) throws IOException {
            mChannel.position(position);
            return this;
        }

        @Override
        public long size() throws IOException {
            return mChannel.size();
        }

        @Override
        public long transferTo(long position, long count, WritableByteChannel target)
                throws IOException {
            return mChannel.transferTo(position, count, target);
        }

        @Override
        public long transferFrom(ReadableByteChannel source, long position, long count)
                throws IOException {
            willChange();
            return mChannel.transferFrom(source, position, count);
        }

        @Override
        public MappedByteBuffer map(MapMode mode, long position, long size) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileLock lock(long position, long size, boolean isShared) throws IOException {
            return mChannel.lock(position, size, isShared);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean isShared) throws IOException {
            return mChannel.tryLock(position, size, isShared);
        }

        @Override
        protected void implCloseChannel() throws IOException {
            mChannel.close();
        }
    }
}
