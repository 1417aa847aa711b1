package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Brings a store that no leader knows into its group, or founds the group. */
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

    /** Looks for the group, or founds it. */
    void tick() {
        sendHellosIfDue();
        bootstrapIfAllSeedsAreUninitialised();
    }

    /** Tells all known stores now and then that no leader sends anything. */
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

    /** Another store looks for the group too; it may have an empty folder. */
    void onHello(Message message, Message.Hello hello) {
        if (message.cluster() != 0) {
            return;
        }
        StoreId from = message.from();
        mUninitialisedStores.put(from.vm(), new LastHello(from, hello.address(), mState.now()));
        bootstrapIfAllSeedsAreUninitialised();
    }

    /** A member has answered. */
    void onHelloReply(Message message, Message.HelloReply reply) {
        updateMembers(reply.members());
        if (reply.isBootstrap() && reply.members().isVoter(mState.self())) {
            joinGroup(message.cluster(), reply.members());
        } else if (reply.knownIncarnation() > mState.self().incarnation()) {
            mState.adoptIncarnation(reply.knownIncarnation() + 1);
        }
    }

    /** Notes whom to ask besides the stores of the settings. */
    void updateMembers(Membership members) {
        mKnownMembers = members;
    }

    private void bootstrapIfAllSeedsAreUninitialised() {
        if (!mState.local().isBootstrapStore()) {
            return;
        }
        Membership founding = Membership.NONE;
        for (Member seed : mState.local().seeds()) {
            Optional<Member> member = bootstrapMember(seed);
            if (member.isEmpty()) {
                return;
            }
            founding = founding.with(member.get());
        }
        joinGroup(mState.self().incarnation(), founding);
        for (Member member : founding.members()) {
            if (!member.id().equals(mState.self())) {
                mState.send(member.id(), new Message.HelloReply(0, true, founding));
            }
        }
    }

    private Optional<Member> bootstrapMember(Member seed) {
        String vm = seed.id().vm();
        if (vm.equals(mState.self().vm())) {
            return Optional.of(new Member(mState.self(), mState.local().address(), true));
        }
        LastHello sighting = mUninitialisedStores.get(vm);
        Duration oldest = mState.now().minus(mState.timing().electionMax());
        if (sighting == null || sighting.receivedAt().compareTo(oldest) < 0) {
            return Optional.empty();
        }
        return Optional.of(new Member(sighting.id(), sighting.address(), true));
    }

    private void joinGroup(long cluster, Membership founding) {
        mState.install(Snapshot.bootstrap(founding));
        mState.hardState(new HardState(cluster, Snapshot.BOOTSTRAP_TERM, Optional.empty()));
    }

    private record LastHello(StoreId id, String address, Duration receivedAt) {}
}
