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
 * Connects so that a reset connection fails what is read from it.
 *
 * <p>Jetty's own end point reads a reset as the end of the stream. An answer without a length ends
 * with its connection, and one that was reset on the way would then look whole.
 *
 * <p>It makes no TLS context, as endpoints of a fleet are asked in plain text: Jetty would load the
 * trusted certificates at each start, which takes a third of the processor time of a start.
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

    /** A factory that stays unconfigured and fails whoever asks it for TLS. */
    private static final class UnusedTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {
            // Nothing to load.
        }
    }

    /** Passes a failed read on. */
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
