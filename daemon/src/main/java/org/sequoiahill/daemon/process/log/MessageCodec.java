package org.sequoiahill.daemon.process.log;

import java.util.Optional;
import org.sequoiahill.protocol.gen.LogAppend;
import org.sequoiahill.protocol.gen.LogAppendReply;
import org.sequoiahill.protocol.gen.LogBody;
import org.sequoiahill.protocol.gen.LogHello;
import org.sequoiahill.protocol.gen.LogHelloReply;
import org.sequoiahill.protocol.gen.LogMessage;
import org.sequoiahill.protocol.gen.LogRefused;
import org.sequoiahill.protocol.gen.LogSnapshotChunk;
import org.sequoiahill.protocol.gen.LogSnapshotReply;
import org.sequoiahill.protocol.gen.LogTransferNow;
import org.sequoiahill.protocol.gen.LogVoteReply;
import org.sequoiahill.protocol.gen.LogVoteRequest;

/** Converts messages to Thrift and back. */
final class MessageCodec {
    private MessageCodec() {}

    static LogMessage toThrift(Message message) {
        return new LogMessage(
                StorageCodec.toThrift(message.from()),
                StorageCodec.toThrift(message.to()),
                message.cluster(),
                message.term(),
                message.start().count(),
                message.start().nonce(),
                message.start().term(),
                message.start().lastIndex(),
                toThrift(message.body()));
    }

    /** Returns the message; empty if this version doesn't know its type. */
    static Optional<Message> fromThrift(LogMessage message) {
        Message.Start start =
                new Message.Start(
                        message.getStartCount(),
                        message.getStartNonce(),
                        message.getStartTerm(),
                        message.getStartLastIndex());
        return fromThrift(message.getBody())
                .map(
                        body ->
                                new Message(
                                        StorageCodec.fromThrift(message.getFromStore()),
                                        StorageCodec.fromThrift(message.getToStore()),
                                        message.getCluster(),
                                        message.getTerm(),
                                        start,
                                        body));
    }

    private static LogBody toThrift(Message.Body body) {
        if (body instanceof Message.Append append) {
            return LogBody.append(toThrift(append));
        } else if (body instanceof Message.AppendReply reply) {
            return LogBody.appendReply(
                    new LogAppendReply(
                            reply.forTerm(), reply.isMatched(), reply.index(), reply.sentAt()));
        } else if (body instanceof Message.VoteRequest request) {
            return LogBody.voteRequest(
                    new LogVoteRequest(
                            request.forTerm(),
                            request.isPreVote(),
                            request.isTransfer(),
                            request.lastIndex(),
                            request.lastTerm()));
        } else if (body instanceof Message.VoteReply reply) {
            return LogBody.voteReply(
                    new LogVoteReply(reply.forTerm(), reply.isPreVote(), reply.isGranted()));
        } else if (body instanceof Message.SnapshotChunk chunk) {
            return LogBody.snapshotChunk(toThrift(chunk));
        } else if (body instanceof Message.SnapshotReply reply) {
            return LogBody.snapshotReply(
                    new LogSnapshotReply(
                            reply.forTerm(),
                            reply.index(),
                            reply.nextOffset(),
                            reply.isInstalled(),
                            reply.sentAt()));
        } else if (body instanceof Message.Hello hello) {
            return LogBody.hello(new LogHello(hello.address()));
        } else if (body instanceof Message.HelloReply reply) {
            return LogBody.helloReply(
                    new LogHelloReply(
                            reply.knownIncarnation(),
                            reply.isBootstrap(),
                            reply.members().toThrift()));
        } else if (body instanceof Message.Refused refused) {
            return LogBody.refused(new LogRefused(refused.nonce()));
        }
        return LogBody.transferNow(new LogTransferNow());
    }

    private static LogAppend toThrift(Message.Append append) {
        return new LogAppend(
                append.previousIndex(),
                append.previousTerm(),
                append.commitIndex(),
                append.sentAt(),
                StorageCodec.toThrift(append.entries()));
    }

    private static LogSnapshotChunk toThrift(Message.SnapshotChunk chunk) {
        return new LogSnapshotChunk(
                chunk.index(),
                chunk.lastTerm(),
                chunk.members().toThrift(),
                chunk.offset(),
                chunk.total(),
                chunk.data().duplicate(),
                chunk.sentAt());
    }

    private static Optional<Message.Body> fromThrift(LogBody body) {
        LogBody._Fields field = body.getSetField();
        if (field == null) {
            return Optional.empty();
        }
        return Optional.of(
                switch (field) {
                    case VOTE_REQUEST -> fromThrift(body.getVoteRequest());
                    case VOTE_REPLY -> fromThrift(body.getVoteReply());
                    case APPEND -> fromThrift(body.getAppend());
                    case APPEND_REPLY -> fromThrift(body.getAppendReply());
                    case SNAPSHOT_CHUNK -> fromThrift(body.getSnapshotChunk());
                    case SNAPSHOT_REPLY -> fromThrift(body.getSnapshotReply());
                    case TRANSFER_NOW -> new Message.TransferNow();
                    case HELLO -> new Message.Hello(body.getHello().getAddress());
                    case HELLO_REPLY -> fromThrift(body.getHelloReply());
                    case REFUSED -> new Message.Refused(body.getRefused().getNonce());
                });
    }

    private static Message.Body fromThrift(LogVoteRequest request) {
        return new Message.VoteRequest(
                request.getForTerm(),
                request.isPreVote(),
                request.isTransfer(),
                request.getLastIndex(),
                request.getLastTerm());
    }

    private static Message.Body fromThrift(LogVoteReply reply) {
        return new Message.VoteReply(reply.getForTerm(), reply.isPreVote(), reply.isGranted());
    }

    private static Message.Body fromThrift(LogAppend append) {
        return new Message.Append(
                append.getPreviousIndex(),
                append.getPreviousTerm(),
                append.getCommitIndex(),
                append.getSentAt(),
                append.getEntries().stream().map(StorageCodec::fromThrift).toList());
    }

    private static Message.Body fromThrift(LogAppendReply reply) {
        return new Message.AppendReply(
                reply.getForTerm(), reply.isMatched(), reply.getIndex(), reply.getSentAt());
    }

    private static Message.Body fromThrift(LogSnapshotChunk chunk) {
        return new Message.SnapshotChunk(
                chunk.getIndex(),
                chunk.getLastTerm(),
                Membership.fromThrift(chunk.getMembers()),
                chunk.getOffset(),
                chunk.getTotal(),
                chunk.bufferForData().slice(),
                chunk.getSentAt());
    }

    private static Message.Body fromThrift(LogSnapshotReply reply) {
        return new Message.SnapshotReply(
                reply.getForTerm(),
                reply.getIndex(),
                reply.getNextOffset(),
                reply.isInstalled(),
                reply.getSentAt());
    }

    private static Message.Body fromThrift(LogHelloReply reply) {
        return new Message.HelloReply(
                reply.getKnownIncarnation(),
                reply.isFounding(),
                Membership.fromThrift(reply.getMembers()));
    }
}
