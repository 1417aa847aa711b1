package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Brings a store that no leader knows into its group, or founds the group. */
final class Joining {
    private final CoreState mState;
    private final Map<String, Sighting> mBlankStores = new HashMap<>();
    private Membership mMembers = Membership.NONE;
    private Duration mNextHello;

    private Joining(CoreState state) {
        mState = state;
        mNextHello = state.now();
    }

    static Joining of(CoreState state) {
        return new Joining(state);
    }

    /** Looks for the group, or founds it. */
    void tick() {
        askForMembership();
        foundIfAllAreBlank();
    }

    /** Tells all known stores now and then that no leader sends anything. */
    void askForMembership() {
        if (mState.now().compareTo(mNextHello) < 0) {
            return;
        }
        mNextHello = mState.now().plus(mState.timing().heartbeat().multipliedBy(2));
        Set<String> vms = new TreeSet<>();
        mState.local().seeds().forEach(seed -> vms.add(seed.id().vm()));
        mState.log().members().members().forEach(member -> vms.add(member.id().vm()));
        mMembers.members().forEach(member -> vms.add(member.id().vm()));
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
        mBlankStores.put(from.vm(), new Sighting(from, hello.address(), mState.now()));
        foundIfAllAreBlank();
    }

    /** A member has answered. */
    void onHelloReply(Message message, Message.HelloReply reply) {
        learnOf(reply.members());
        if (reply.isFounding() && reply.members().isVoter(mState.self())) {
            join(message.cluster(), reply.members());
        } else if (reply.knownIncarnation() > mState.self().incarnation()) {
            mState.adopt(reply.knownIncarnation() + 1);
        }
    }

    /** Notes whom to ask besides the stores of the settings. */
    void learnOf(Membership members) {
        mMembers = members;
    }

    private void foundIfAllAreBlank() {
        if (!mState.local().isFounder()) {
            return;
        }
        Membership founding = Membership.NONE;
        for (Member seed : mState.local().seeds()) {
            Optional<Member> member = foundingMember(seed);
            if (member.isEmpty()) {
                return;
            }
            founding = founding.with(member.get());
        }
        join(mState.self().incarnation(), founding);
        for (Member member : founding.members()) {
            if (!member.id().equals(mState.self())) {
                mState.send(member.id(), new Message.HelloReply(0, true, founding));
            }
        }
    }

    private Optional<Member> foundingMember(Member seed) {
        String vm = seed.id().vm();
        if (vm.equals(mState.self().vm())) {
            return Optional.of(new Member(mState.self(), mState.local().address(), true));
        }
        Sighting sighting = mBlankStores.get(vm);
        Duration oldest = mState.now().minus(mState.timing().electionMax());
        if (sighting == null || sighting.at().compareTo(oldest) < 0) {
            return Optional.empty();
        }
        return Optional.of(new Member(sighting.id(), sighting.address(), true));
    }

    private void join(long cluster, Membership founding) {
        mState.install(Snapshot.founding(founding));
        mState.hardState(new HardState(cluster, Snapshot.FOUNDING_TERM, Optional.empty()));
    }

    private record Sighting(StoreId id, String address, Duration at) {}
}
