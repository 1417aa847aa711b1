package org.sequoiahill.daemon.process.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.LogDelivery;
import org.tinylog.Logger;

/** Sends the messages of one group, with at most one call in flight to each store. */
final class ThriftTransport implements LogTransport, AutoCloseable {
    private static final int MAX_QUEUED = 256;
    private static final int MAX_BATCH_BYTES = 4 << 20;
    private static final int MESSAGE_OVERHEAD_BYTES = 128;

    private final Identity mIdentity;
    private final ServiceStub<Log.Client> mStub;
    private final ControlClient mClient;
    private final Map<String, Outbox> mOutboxes = new ConcurrentHashMap<>();
    private final Map<String, HostPort> mAddresses = new ConcurrentHashMap<>();
    private final Map<String, HostPort> mConfiguredAddresses;

    private ThriftTransport(
            Identity identity,
            ServiceStub<Log.Client> stub,
            ControlClient client,
            Map<String, HostPort> configuredAddresses) {
        mIdentity = identity;
        mStub = stub;
        mClient = client;
        mConfiguredAddresses = configuredAddresses;
    }

    /**
     * Returns a transport.
     *
     * @param client client that only this group uses
     * @param configuredAddresses addresses from the settings; they take precedence over those that
     *     members report
     */
    static ThriftTransport over(
            Identity identity,
            ServiceStub<Log.Client> stub,
            ControlClient client,
            Map<String, HostPort> configuredAddresses) {
        return new ThriftTransport(identity, stub, client, Map.copyOf(configuredAddresses));
    }

    /** Sets the address of a store. */
    void putAddress(String vm, String address) {
        mAddresses.put(vm, HostPort.parse(address));
    }

    @Override
    public void updateAddresses(Membership members) {
        members.members().forEach(member -> putAddress(member.id().vm(), member.address()));
    }

    /** Returns the address of a store, if known. */
    Optional<HostPort> addressOf(String vm) {
        HostPort configured = mConfiguredAddresses.get(vm);
        return Optional.ofNullable(configured == null ? mAddresses.get(vm) : configured);
    }

    @Override
    public void send(List<Message> messages) {
        for (Message message : messages) {
            String vm = message.to().vm();
            mOutboxes.computeIfAbsent(vm, key -> new Outbox(key)).add(message);
        }
    }

    @Override
    public void close() {
        mClient.close();
    }

    private static int sizeOf(Message message) {
        if (message.body() instanceof Message.Append append) {
            return MESSAGE_OVERHEAD_BYTES + append.entries().stream().mapToInt(Entry::size).sum();
        }
        if (message.body() instanceof Message.SnapshotChunk chunk) {
            return MESSAGE_OVERHEAD_BYTES + chunk.data().remaining();
        }
        return MESSAGE_OVERHEAD_BYTES;
    }

    /**
     * Queue of messages for one store; drops the oldest ones if it is full, and all of them after a
     * failed call or while the store's address is unknown.
     */
    private final class Outbox {
        private final String mVm;
        private final Deque<Message> mQueue = new ArrayDeque<>();
        private boolean mIsSending;

        Outbox(String vm) {
            mVm = vm;
        }

        synchronized void add(Message message) {
            if (mQueue.size() >= MAX_QUEUED) {
                mQueue.removeFirst();
            }
            mQueue.addLast(message);
            sendNext();
        }

        private synchronized void sendNext() {
            Optional<HostPort> address = addressOf(mVm);
            if (mIsSending || mQueue.isEmpty()) {
                return;
            }
            if (address.isEmpty()) {
                mQueue.clear();
                return;
            }
            mIsSending = true;
            LogDelivery delivery = new LogDelivery(mIdentity.sender(), new ArrayList<>());
            int bytes = 0;
            while (!mQueue.isEmpty() && bytes < MAX_BATCH_BYTES) {
                Message message = mQueue.removeFirst();
                bytes += sizeOf(message);
                delivery.addToMessages(MessageCodec.toThrift(message));
            }
            mClient.call(address.get(), mStub, client -> client.deliver(delivery))
                    .whenComplete((reply, failure) -> onSent(failure));
        }

        private synchronized void onSent(Throwable failure) {
            mIsSending = false;
            if (failure != null) {
                Logger.debug("call to store {} failed: {}", mVm, failure.toString());
                mQueue.clear();
            }
            sendNext();
        }
    }
}
