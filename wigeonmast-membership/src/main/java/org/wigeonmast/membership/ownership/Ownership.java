package org.wigeonmast.membership.ownership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.MemberPhase;
import org.wigeonmast.membership.MemberStatus;

/**
 * Ranks the daemons of a region for each service by rendezvous hashing.
 * <p>
 * Thread safety: none; the control thread owns it. Invariants: two daemons with the same
 * live ready members rank them equally; when a member goes, the order of the others stays
 * as it was. Two daemons whose views differ may each take a different member for the
 * owner, themselves included; nothing here prevents that, and nothing that depends on
 * ownership may assume that it is exclusive.
 */
public final class Ownership {

	/**
	 * Number of members in the order of ownership that are known for each service and
	 * region.
	 */
	public static final int RANKED_MEMBERS = 3;

	/** Number of daemons in each region that read the store. */
	public static final int READERS_PER_REGION = 2;

	private static final String READERS_KEY = "manifest readers";

	private static final Comparator<Scored> BY_RANK = Comparator.comparingInt(Scored::score)
		.reversed()
		.thenComparing((scored) -> scored.member.name());

	private Map<Region, List<Candidate>> ready = Map.of();

	private Map<Region, List<Candidate>> reading = Map.of();

	private final Map<Key, List<Member>> ranks = new HashMap<>();

	private final Map<Region, List<Member>> readers = new HashMap<>();

	/**
	 * Replaces the members.
	 * @param live the live members, this daemon included
	 */
	public void update(Collection<Member> live) {
		Map<Region, List<Candidate>> before = this.ready;
		this.ready = candidates(live, (member) -> member.phase() == MemberPhase.READY);
		// A change concerns one region as a rule, and the ranks of the others still hold.
		this.ranks.keySet().removeIf((key) -> !Objects.equals(before.get(key.region), this.ready.get(key.region)));
		// A suspected reader is replaced at once, since one more reader for a moment
		// costs little.
		this.reading = candidates(live,
				(member) -> member.phase() != MemberPhase.LEAVING && member.status() == MemberStatus.LIVE);
		this.readers.clear();
	}

	/**
	 * Returns the first live ready members of a region in the order in which they own a
	 * service.
	 * @param service the service
	 * @param region the region
	 * @return at most {@link #RANKED_MEMBERS} members, the owner first; empty if none is
	 * ready
	 */
	public List<Member> rank(ServiceName service, Region region) {
		return this.ranks.computeIfAbsent(new Key(service, region),
				(key) -> first(RANKED_MEMBERS, service.value(), region, this.ready));
	}

	/**
	 * Returns the owner of a service in a region.
	 * @param service the service
	 * @param region the region
	 * @return the owner, or {@code null} if no member of the region is ready
	 */
	public @Nullable Member owner(ServiceName service, Region region) {
		List<Member> rank = rank(service, region);
		return (rank.isEmpty()) ? null : rank.getFirst();
	}

	/**
	 * Returns the daemons of a region that read the store, chosen among all live members
	 * that are not leaving, so that a region in which none is ready yet has readers.
	 * @param region the region
	 * @return at most {@link #READERS_PER_REGION} members in the order of their rank
	 */
	public List<Member> readers(Region region) {
		return this.readers.computeIfAbsent(region,
				(key) -> first(READERS_PER_REGION, READERS_KEY, region, this.reading));
	}

	private static Map<Region, List<Candidate>> candidates(Collection<Member> live, Predicate<Member> filter) {
		Map<Region, List<Candidate>> byRegion = new HashMap<>();
		for (Member member : live) {
			if (filter.test(member)) {
				byRegion.computeIfAbsent(member.region(), (region) -> new ArrayList<>())
					.add(new Candidate(member, hash(member.name())));
			}
		}
		return byRegion;
	}

	private static List<Member> first(int count, String key, Region region, Map<Region, List<Candidate>> candidates) {
		long keyHash = hash(key + "/" + region.name());
		List<Scored> first = new ArrayList<>(count + 1);
		for (Candidate candidate : candidates.getOrDefault(region, List.of())) {
			int score = MurmurHash3.hash32(keyHash, candidate.hash);
			if (first.size() < count || score >= first.getLast().score) {
				first.add(new Scored(candidate.member, score));
				first.sort(BY_RANK);
				if (first.size() > count) {
					first.removeLast();
				}
			}
		}
		return first.stream().map(Scored::member).toList();
	}

	private static long hash(String text) {
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

	private record Key(ServiceName service, Region region) {
	}

	private record Candidate(Member member, long hash) {
	}

	private record Scored(Member member, int score) {
	}

}
