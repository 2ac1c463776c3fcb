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
 * Rendezvous hashing of services to daemons: ranks the daemons of each region for each
 * service.
 * <p>
 * Thread safety: none; the control thread owns it. Invariants: two daemons that see the
 * same live ready members rank them equally; when a member is removed, the order of the
 * others does not change. Daemons with different views may disagree on the owner, and
 * several may regard themselves as the owner. Nothing here prevents that, so code that
 * depends on ownership must not assume that it is exclusive.
 */
public final class Ownership {

	/**
	 * Maximum number of members that are ranked for each service and region.
	 */
	public static final int MAXIMUM_RANKED_MEMBERS = 3;

	/** Maximum number of daemons in each region that read the platform's store. */
	public static final int READERS_PER_REGION = 2;

	private static final String READERS_KEY = "manifest readers";

	private static final Comparator<ScoredMember> BY_RANK = Comparator.comparingInt(ScoredMember::score)
		.reversed()
		.thenComparing((candidate) -> candidate.member.name());

	private Map<Region, List<Candidate>> ownerCandidates = Map.of();

	private Map<Region, List<Candidate>> readerCandidates = Map.of();

	private final Map<Key, List<Member>> ranks = new HashMap<>();

	private final Map<Region, List<Member>> readers = new HashMap<>();

	/**
	 * Replaces the members and discards the ranks that depend on members that changed.
	 * @param live the live members, this daemon included
	 */
	public void update(Collection<Member> live) {
		Map<Region, List<Candidate>> previous = this.ownerCandidates;
		this.ownerCandidates = candidates(live, (member) -> member.phase() == MemberPhase.READY);
		// Most changes concern one region; the ranks of the other regions remain valid.
		this.ranks.keySet()
			.removeIf((key) -> !Objects.equals(previous.get(key.region), this.ownerCandidates.get(key.region)));
		// A suspected reader is replaced at once, because an additional reader for a
		// short time costs little.
		this.readerCandidates = candidates(live,
				(member) -> member.phase() != MemberPhase.LEAVING && member.status() == MemberStatus.LIVE);
		this.readers.clear();
	}

	/**
	 * Returns the highest-ranked live ready members of a region for a service.
	 * @param service the service
	 * @param region the region
	 * @return at most {@link #MAXIMUM_RANKED_MEMBERS} members, the owner first; empty if
	 * none is ready
	 */
	public List<Member> rankedMembers(ServiceName service, Region region) {
		return this.ranks.computeIfAbsent(new Key(service, region),
				(key) -> highestRanked(MAXIMUM_RANKED_MEMBERS, service.value(), region, this.ownerCandidates));
	}

	/**
	 * Returns the owner of a service in a region.
	 * @param service the service
	 * @param region the region
	 * @return the owner, or {@code null} if no member of the region is ready
	 */
	public @Nullable Member owner(ServiceName service, Region region) {
		List<Member> members = rankedMembers(service, region);
		return (members.isEmpty()) ? null : members.getFirst();
	}

	/**
	 * Returns the daemons of a region that read the platform's store. They are chosen
	 * among all live members that are not leaving, so that a region in which no member is
	 * ready yet also has readers.
	 * @param region the region
	 * @return at most {@link #READERS_PER_REGION} members in the order of their rank
	 */
	public List<Member> readers(Region region) {
		return this.readers.computeIfAbsent(region,
				(key) -> highestRanked(READERS_PER_REGION, READERS_KEY, region, this.readerCandidates));
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

	private static List<Member> highestRanked(int count, String key, Region region,
			Map<Region, List<Candidate>> candidates) {
		long keyHash = hash(key + "/" + region.name());
		List<ScoredMember> selection = new ArrayList<>(count + 1);
		for (Candidate candidate : candidates.getOrDefault(region, List.of())) {
			int score = MurmurHash3.hash32(keyHash, candidate.nameHash);
			if (selection.size() < count || score >= selection.getLast().score) {
				selection.add(new ScoredMember(candidate.member, score));
				selection.sort(BY_RANK);
				if (selection.size() > count) {
					selection.removeLast();
				}
			}
		}
		return selection.stream().map(ScoredMember::member).toList();
	}

	private static long hash(String text) {
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

	private record Key(ServiceName service, Region region) {
	}

	private record Candidate(Member member, long nameHash) {
	}

	private record ScoredMember(Member member, int score) {
	}

}
