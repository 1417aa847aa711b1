package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Finds the group of a store that has no contact with a leader, or bootstraps the group. */
final class GroupDiscovery {
    private final CoreState mState;
    private final Map<String, LastHello> mUninitialisedStores = new HashMap<>();
    private Membership mKnownMembers = Membership.NONE;
    private Duration mNextHello;

    private GroupDiscovery(CoreState state) {
        mState = state;
        mNextHello = state.now();
    }

    static GroupDiscovery of(CoreState state) {
        return new GroupDiscovery(state);
    }

    /** Sends hellos and bootstraps the group if possible, for a store that has not joined yet. */
    void tick() {
        sendHellosIfDue();
        bootstrapIfAllSeedsAreUninitialised();
    }

    /** Sends a hello to all known stores, once every two heartbeat intervals. */
    void sendHellosIfDue() {
        if (mState.now().compareTo(mNextHello) < 0) {
            return;
        }
        mNextHello = mState.now().plus(mState.timing().heartbeat().multipliedBy(2));
        Set<String> vms = new TreeSet<>();
        mState.local().seeds().forEach(seed -> vms.add(seed.id().vm()));
        mState.log().members().members().forEach(member -> vms.add(member.id().vm()));
        mKnownMembers.members().forEach(member -> vms.add(member.id().vm()));
        vms.remove(mState.self().vm());
        for (String vm : vms) {
            mState.send(new StoreId(vm, 0), new Message.Hello(mState.local().address()));
        }
    }

    /**
     * Handles the hello of another store; records the store if it has not joined a group either.
     */
    void onHello(Message message, Message.Hello hello) {
        if (message.cluster() != 0) {
            return;
        }
        StoreId from = message.from();
        mUninitialisedStores.put(from.vm(), new LastHello(from, hello.address(), mState.now()));
        bootstrapIfAllSeedsAreUninitialised();
    }

    /**
     * Handles the reply of a member: joins a bootstrapped group, or adopts a higher incarnation.
     */
    void onHelloReply(Message message, Message.HelloReply reply) {
        updateMembers(reply.members());
        if (reply.isBootstrap() && reply.members().isVoter(mState.self())) {
            joinGroup(message.cluster(), reply.members());
        } else if (reply.knownIncarnation() > mState.self().incarnation()) {
            mState.adoptIncarnation(reply.knownIncarnation() + 1);
        }
    }

    /** Sets the members that receive hellos in addition to the seeds. */
    void updateMembers(Membership members) {
        mKnownMembers = members;
    }

    private void bootstrapIfAllSeedsAreUninitialised() {
        if (!mState.local().isBootstrapStore()) {
            return;
        }
        Membership members = Membership.NONE;
        for (Member seed : mState.local().seeds()) {
            Optional<Member> member = bootstrapMember(seed);
            if (member.isEmpty()) {
                return;
            }
            members = members.with(member.get());
        }
        joinGroup(mState.self().incarnation(), members);
        for (Member member : members.members()) {
            if (!member.id().equals(mState.self())) {
                mState.send(member.id(), new Message.HelloReply(0, true, members));
            }
        }
    }

    /**
     * Returns a seed as a member; empty if it is another store that has not recently announced that
     * it has not joined a group.
     */
    private Optional<Member> bootstrapMember(Member seed) {
        String vm = seed.id().vm();
        if (vm.equals(mState.self().vm())) {
            return Optional.of(new Member(mState.self(), mState.local().address(), true));
        }
        LastHello hello = mUninitialisedStores.get(vm);
        Duration oldest = mState.now().minus(mState.timing().electionMax());
        if (hello == null || hello.receivedAt().compareTo(oldest) < 0) {
            return Optional.empty();
        }
        return Optional.of(new Member(hello.id(), hello.address(), true));
    }

    private void joinGroup(long cluster, Membership members) {
        mState.install(Snapshot.bootstrap(members));
        mState.changeHardState(new HardState(cluster, Snapshot.BOOTSTRAP_TERM, Optional.empty()));
    }

    private record LastHello(StoreId id, String address, Duration receivedAt) {}
}
