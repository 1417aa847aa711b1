package org.sequoiahill.daemon.connection;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connector whose connections report a reset as a read failure.
 *
 * <p>Jetty's own end point treats a reset as the end of the stream. A response without a length
 * ends with its connection, so a response that is truncated by a reset would look complete.
 *
 * <p>The connector creates no TLS context, since all connections to endpoints are unencrypted.
 * Jetty would load the trusted certificates at each start, which takes a third of a start's
 * processor time.
 */
public final class ResetAwareConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new UnusedTls();
    }

    /** Loads no certificates; using it for TLS would fail, because it creates no TLS context. */
    private static final class UnusedTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {
            // Nothing to load.
        }
    }

    /** Throws the exception of a failed read instead of treating it as the end of the stream. */
    private static final class ResetAwareEndPoint extends SocketChannelEndPoint {
        ResetAwareEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            try {
                int filled = getChannel().read(buffer);
                if (filled > 0) {
                    notIdle();
                } else if (filled < 0) {
                    shutdownInput();
                }
                return filled;
            } catch (IOException e) {
                shutdownInput();
                throw e;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }
    }
}
