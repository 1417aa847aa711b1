package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.sequoiahill.protocol.gen.LogMember;
import org.sequoiahill.protocol.gen.LogMembers;

/**
 * Members of a group as of an entry of its log.
 *
 * @param members voters and learners, at most one per VM
 */
public record Membership(List<Member> members) {
    /** Maximum number of members of a group. */
    public static final int MAX_MEMBERS = 7;

    /** Members of a group that has not been bootstrapped. */
    public static final Membership NONE = new Membership(List.of());

    /** Copies the members. */
    public Membership {
        members = List.copyOf(members);
    }

    /** Returns the voters. */
    public List<Member> voters() {
        return members.stream().filter(Member::isVoter).toList();
    }

    /** Returns whether a store is a voter. */
    public boolean isVoter(StoreId id) {
        return byId(id).filter(Member::isVoter).isPresent();
    }

    /** Returns the member with this VM and incarnation. */
    public Optional<Member> byId(StoreId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /** Returns the member on a VM. */
    public Optional<Member> byVm(String vm) {
        return members.stream().filter(member -> member.id().vm().equals(vm)).findFirst();
    }

    /** Returns the number of voters that form a majority. */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /** Returns the greatest value that a majority of the voters has reached; needs a voter. */
    public <T extends Comparable<T>> T reachedByQuorum(Function<StoreId, T> valueOf) {
        List<T> values = new ArrayList<>();
        voters().forEach(voter -> values.add(valueOf.apply(voter.id())));
        values.sort(Comparator.reverseOrder());
        return values.get(quorum() - 1);
    }

    /** Returns a copy with a member, which replaces any other on the same VM. */
    public Membership with(Member member) {
        List<Member> changed = new ArrayList<>(without(member.id().vm()).members());
        changed.add(member);
        return new Membership(changed);
    }

    /** Returns a copy without the member on a VM. */
    public Membership without(String vm) {
        return new Membership(
                members.stream().filter(member -> !member.id().vm().equals(vm)).toList());
    }

    /** Returns the serialised membership. */
    public ByteBuffer encode() {
        try {
            return ByteBuffer.wrap(
                    new TSerializer(new TCompactProtocol.Factory()).serialize(toThrift()));
        } catch (TException e) {
            throw new IllegalStateException("can't serialise a membership", e);
        }
    }

    /** Returns a membership serialised by {@link #encode}. */
    public static Membership decode(ByteBuffer bytes) {
        try {
            LogMembers members = new LogMembers();
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(members, copy);
            return fromThrift(members);
        } catch (TException e) {
            throw new IllegalStateException("can't deserialise a membership of the log", e);
        }
    }

    LogMembers toThrift() {
        LogMembers thrift = new LogMembers(new ArrayList<>());
        for (Member member : members) {
            thrift.addToMembers(
                    new LogMember(
                            member.id().vm(),
                            member.id().incarnation(),
                            member.address(),
                            member.isVoter()));
        }
        return thrift;
    }

    static Membership fromThrift(LogMembers thrift) {
        List<Member> members = new ArrayList<>();
        for (LogMember member : thrift.getMembers()) {
            members.add(
                    new Member(
                            new StoreId(member.getVm(), member.getIncarnation()),
                            member.getAddress(),
                            member.isVoter()));
        }
        return new Membership(members);
    }
}
