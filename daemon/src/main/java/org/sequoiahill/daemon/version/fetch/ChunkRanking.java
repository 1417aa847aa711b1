package org.sequoiahill.daemon.version.fetch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

/**
 * Ranks the agents of a data centre for each chunk; the first is the owner of the chunk. Manifests
 * are ranked like chunks, by their digest.
 */
@FunctionalInterface
public interface ChunkRanking {
    /** Returns the members in the order of their rank for a chunk, the owner first. */
    List<FetchMember> rank(String chunkDigest, List<FetchMember> members);

    /**
     * Returns the ranking by rendezvous hashing: when a member leaves, only the chunks that it owns
     * get another owner.
     */
    static ChunkRanking rendezvous() {
        return ChunkRanking::byWeight;
    }

    private static List<FetchMember> byWeight(String chunkDigest, List<FetchMember> members) {
        long chunk = HexFormat.fromHexDigitsToLong(chunkDigest, 0, Long.BYTES * 2);
        List<Weighted> weighted = new ArrayList<>(members.size());
        for (FetchMember member : members) {
            weighted.add(new Weighted(member, mix(chunk ^ hash(member.vm()))));
        }
        weighted.sort(
                Comparator.comparingLong(Weighted::weight)
                        .thenComparing(entry -> entry.member().vm()));
        return weighted.stream().map(Weighted::member).toList();
    }

    private static long hash(String text) {
        long hash = 0;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = mix(hash ^ b);
        }
        return hash;
    }

    /**
     * One step of SplitMix64: a change of one bit of the input changes half of the output's bits on
     * average.
     */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /**
     * A member and its hash weight for a chunk.
     *
     * @param member the member
     * @param weight sort key among the members
     */
    record Weighted(FetchMember member, long weight) {}
}
