package org.sequoiahill.daemon.process.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.LogDelivery;
import org.sequoiahill.protocol.gen.LogMessage;
import org.sequoiahill.protocol.gen.MembersReply;
import org.sequoiahill.protocol.gen.MembersRequest;
import org.sequoiahill.protocol.gen.Sender;

/** Thrift service of one group: receives messages of its stores and membership requests. */
final class GroupHandler implements Log.Iface {
    private final Identity mIdentity;
    private final GroupLog mLog;
    private final ThriftTransport mTransport;
    private final ServiceStub<Log.Client> mStub;
    private final ControlClient mClient;

    private GroupHandler(
            Identity identity,
            GroupLog log,
            ThriftTransport transport,
            ServiceStub<Log.Client> stub,
            ControlClient client) {
        mIdentity = identity;
        mLog = log;
        mTransport = transport;
        mStub = stub;
        mClient = client;
    }

    static GroupHandler of(
            Identity identity,
            GroupLog log,
            ThriftTransport transport,
            ServiceStub<Log.Client> stub,
            ControlClient client) {
        return new GroupHandler(identity, log, transport, stub, client);
    }

    @Override
    public Sender deliver(LogDelivery delivery) {
        for (LogMessage thrift : delivery.getMessages()) {
            Optional<Message> message = MessageCodec.fromThrift(thrift);
            message.ifPresent(this::receive);
        }
        return mIdentity.sender();
    }

    @Override
    public MembersReply members(MembersRequest request) {
        if (!mLog.isLeader()) {
            return forward(request);
        }
        try {
            if (request.isSetVm() && !isAlreadyDone(request)) {
                change(request).join();
            }
            return reply();
        } catch (CompletionException e) {
            return reply().setFailure(String.valueOf(e.getCause()));
        }
    }

    private void receive(Message message) {
        if (message.body() instanceof Message.Hello hello) {
            mTransport.putAddress(message.from().vm(), hello.address());
        } else if (message.body() instanceof Message.HelloReply reply) {
            mTransport.updateAddresses(reply.members());
        }
        mLog.receive(message);
    }

    /**
     * Returns whether the members are already as requested, as after a resend; the change that made
     * them so may be uncommitted.
     */
    private boolean isAlreadyDone(MembersRequest request) {
        Optional<Member> member = mLog.members().byVm(request.getVm());
        return request.isSetAddress()
                ? member.map(Member::address).filter(request.getAddress()::equals).isPresent()
                : member.isEmpty();
    }

    private CompletableFuture<Long> change(MembersRequest request) {
        if (request.isSetAddress()) {
            return mLog.addMember(request.getVm(), request.getAddress());
        }
        return mLog.removeMember(request.getVm());
    }

    /**
     * Forwards a request to the leader. Refuses it if the leader or its address is unknown, if the
     * request has been forwarded already, or if this store leads but its lease has expired.
     */
    private MembersReply forward(MembersRequest request) {
        Optional<HostPort> leader = mLog.leaderVm().flatMap(mTransport::addressOf);
        boolean isSelf = mLog.leaderVm().filter(mIdentity.vm()::equals).isPresent();
        if (leader.isEmpty() || isSelf || request.isForwarded()) {
            return reply().setFailure("no leader is known");
        }
        MembersRequest forwarded =
                request.deepCopy().setSender(mIdentity.sender()).setForwarded(true);
        try {
            return mClient.call(leader.get(), mStub, client -> client.members(forwarded)).join();
        } catch (CompletionException e) {
            // The call may also have timed out while the change is being committed.
            return reply().setFailure("the leader can't be reached: " + e.getCause());
        }
    }

    private MembersReply reply() {
        MembersReply reply = new MembersReply(mIdentity.sender(), mLog.members().toThrift());
        mLog.leaderVm().ifPresent(reply::setLeaderVm);
        return reply;
    }
}
