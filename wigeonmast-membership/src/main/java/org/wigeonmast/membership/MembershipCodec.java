package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.MessageCodec;
import org.wigeonmast.core.Region;
import org.wigeonmast.manifest.follow.VersionStamp;
import org.wigeonmast.membership.internal.protocol.MembershipProtocol;

/**
 * Protobuf codec of the membership messages.
 * <p>
 * Thread safety: immutable. Invariant: every record of a decoded message is complete and
 * within the bounds below; a message with any other record is rejected as malformed.
 */
public final class MembershipCodec implements MessageCodec<MembershipMessage> {

	private static final String SLICE = "membership";

	private static final int MAXIMUM_UPDATES = 1024;

	private static final int MAXIMUM_TEXT_LENGTH = 255;

	private static final int MAXIMUM_PORT = 65_535;

	private static final int HASH_BYTES = 32;

	@Override
	public byte[] encode(MembershipMessage message) {
		MembershipProtocol.Envelope.Builder envelope = MembershipProtocol.Envelope.newBuilder()
			.setSender(encode(message.sender()));
		message.updates().forEach((member) -> envelope.addUpdates(encode(member)));
		switch (message) {
			case MembershipMessage.Ping ping -> envelope.setPing(
					MembershipProtocol.Ping.newBuilder().setNumber(ping.number()).setManifest(encode(ping.manifest())));
			case MembershipMessage.Acknowledgement acknowledgement ->
				envelope.setAcknowledgement(MembershipProtocol.Acknowledgement.newBuilder()
					.setNumber(acknowledgement.number())
					.setManifest(encode(acknowledgement.manifest())));
			case MembershipMessage.IndirectPing ping ->
				envelope.setIndirectPing(MembershipProtocol.IndirectPing.newBuilder()
					.setNumber(ping.number())
					.setTarget(encode(ping.target())));
			case MembershipMessage.IndirectReply reply ->
				envelope.setIndirectReply(MembershipProtocol.IndirectReply.newBuilder()
					.setNumber(reply.number())
					.setReached(reply.reached()));
			case MembershipMessage.Gossip gossip -> envelope.setGossip(MembershipProtocol.Gossip.getDefaultInstance());
			case MembershipMessage.SyncRequest request ->
				envelope.setSyncRequest(MembershipProtocol.SyncRequest.newBuilder().addAllDigest(request.digest()));
			case MembershipMessage.SyncReply reply ->
				envelope.setSyncReply(MembershipProtocol.SyncReply.newBuilder().setLast(reply.last()));
		}
		return envelope.build().toByteArray();
	}

	@Override
	public MembershipMessage decode(byte[] bytes) throws MalformedMessageException {
		MembershipProtocol.Envelope envelope;
		try {
			envelope = MembershipProtocol.Envelope.parseFrom(bytes);
		}
		catch (InvalidProtocolBufferException exception) {
			throw new MalformedMessageException(SLICE, "not a membership message", exception);
		}
		require(envelope.getUpdatesCount() <= MAXIMUM_UPDATES, "too many records");
		require(envelope.getSyncRequest().getDigestCount() <= MemberDigest.BUCKET_COUNT, "digest too long");
		Member sender = decode(envelope.getSender());
		List<Member> updates = new ArrayList<>(envelope.getUpdatesCount());
		for (MembershipProtocol.MemberRecord record : envelope.getUpdatesList()) {
			updates.add(decode(record));
		}
		return switch (envelope.getBodyCase()) {
			case PING -> new MembershipMessage.Ping(envelope.getPing().getNumber(), sender,
					decode(envelope.getPing().getManifest()), updates);
			case ACKNOWLEDGEMENT -> new MembershipMessage.Acknowledgement(envelope.getAcknowledgement().getNumber(),
					sender, decode(envelope.getAcknowledgement().getManifest()), updates);
			case INDIRECT_PING -> new MembershipMessage.IndirectPing(envelope.getIndirectPing().getNumber(), sender,
					decode(envelope.getIndirectPing().getTarget()), updates);
			case INDIRECT_REPLY -> new MembershipMessage.IndirectReply(envelope.getIndirectReply().getNumber(), sender,
					updates, envelope.getIndirectReply().getReached());
			case GOSSIP -> new MembershipMessage.Gossip(sender, updates);
			case SYNC_REQUEST -> new MembershipMessage.SyncRequest(sender, envelope.getSyncRequest().getDigestList());
			case SYNC_REPLY -> new MembershipMessage.SyncReply(sender, updates, envelope.getSyncReply().getLast());
			case BODY_NOT_SET -> throw new MalformedMessageException(SLICE, "unknown kind of message", null);
		};
	}

	private static MembershipProtocol.MemberRecord encode(Member member) {
		return MembershipProtocol.MemberRecord.newBuilder()
			.setName(member.name())
			.setIncarnation(member.id().incarnation())
			.setRevision(member.revision())
			.setAddress(encode(member.address()))
			.setRegion(member.region().name())
			.setFailureDomain(member.failureDomain().name())
			.setPhase(switch (member.phase()) {
				case STARTING -> MembershipProtocol.Phase.PHASE_STARTING;
				case READY -> MembershipProtocol.Phase.PHASE_READY;
				case LEAVING -> MembershipProtocol.Phase.PHASE_LEAVING;
			})
			.setStatus(switch (member.status()) {
				case LIVE -> MembershipProtocol.Status.STATUS_LIVE;
				case SUSPECTED -> MembershipProtocol.Status.STATUS_SUSPECTED;
				case DEAD -> MembershipProtocol.Status.STATUS_DEAD;
			})
			.build();
	}

	private static Member decode(MembershipProtocol.MemberRecord record) throws MalformedMessageException {
		String name = requireText(record.getName(), "name");
		require(record.getIncarnation() >= 0 && record.getRevision() >= 0, "negative incarnation or revision");
		FailureDomain domain = new FailureDomain(new Region(requireText(record.getRegion(), "region")),
				requireText(record.getFailureDomain(), "failure domain"));
		MemberPhase phase = switch (record.getPhase()) {
			case PHASE_STARTING -> MemberPhase.STARTING;
			case PHASE_READY -> MemberPhase.READY;
			case PHASE_LEAVING -> MemberPhase.LEAVING;
			default -> throw new MalformedMessageException(SLICE, "unknown phase of " + name, null);
		};
		MemberStatus status = switch (record.getStatus()) {
			case STATUS_LIVE -> MemberStatus.LIVE;
			case STATUS_SUSPECTED -> MemberStatus.SUSPECTED;
			case STATUS_DEAD -> MemberStatus.DEAD;
			case UNRECOGNIZED -> throw new MalformedMessageException(SLICE, "unknown status of " + name, null);
		};
		return new Member(new DaemonId(name, record.getIncarnation()), record.getRevision(),
				decode(record.getAddress()), domain, phase, status);
	}

	private static MembershipProtocol.Address encode(HostAddress address) {
		return MembershipProtocol.Address.newBuilder().setHost(address.address()).setPort(address.port()).build();
	}

	private static HostAddress decode(MembershipProtocol.Address address) throws MalformedMessageException {
		require(address.getPort() > 0 && address.getPort() <= MAXIMUM_PORT, "port out of range");
		return new HostAddress(requireText(address.getHost(), "address"), address.getPort());
	}

	private static MembershipProtocol.ManifestStamp encode(VersionStamp stamp) {
		return MembershipProtocol.ManifestStamp.newBuilder()
			.setVersion(stamp.version())
			.setHash(ByteString.copyFrom(HexFormat.of().parseHex(stamp.hash())))
			.build();
	}

	private static VersionStamp decode(MembershipProtocol.ManifestStamp stamp) throws MalformedMessageException {
		if (stamp.getVersion() == 0) {
			return VersionStamp.NONE;
		}
		require(stamp.getVersion() > 0 && stamp.getHash().size() == HASH_BYTES, "invalid manifest stamp");
		return new VersionStamp(stamp.getVersion(), HexFormat.of().formatHex(stamp.getHash().toByteArray()));
	}

	private static String requireText(String value, String field) throws MalformedMessageException {
		require(!value.isEmpty() && value.length() <= MAXIMUM_TEXT_LENGTH, field + " is missing or too long");
		return value;
	}

	private static void require(boolean condition, String message) throws MalformedMessageException {
		if (!condition) {
			throw new MalformedMessageException(SLICE, message, null);
		}
	}

}
