package org.wigeonmast.membership;

import java.util.List;

import com.google.protobuf.UnknownFieldSet;
import io.vavr.control.Try;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.Region;
import org.wigeonmast.manifest.follow.VersionStamp;
import org.wigeonmast.membership.internal.protocol.MembershipProtocol;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against messages that change when they are encoded and decoded, against bytes of
 * a peer that cause an unexpected exception, and against rejecting messages of a newer
 * release.
 */
class MembershipCodecTests {

	private final MembershipCodec codec = new MembershipCodec();

	private final Member member = new Member(new DaemonId("a", 5), 2, new HostAddress("10.0.0.1", 7400),
			new FailureDomain(new Region("addis"), "one"), MemberPhase.READY, MemberStatus.SUSPECTED);

	@Test
	void decodesEncodedMessages() throws Exception {
		VersionStamp stamp = new VersionStamp(7, "ab".repeat(32));
		List<Member> updates = List.of(this.member, this.member.withRevisionAndPhase(3, MemberPhase.LEAVING));
		for (MembershipMessage message : List.of(new MembershipMessage.Ping(1, this.member, stamp, updates),
				new MembershipMessage.Acknowledgement(1, this.member, VersionStamp.NONE, updates),
				new MembershipMessage.IndirectPing(2, this.member, this.member.address(), updates),
				new MembershipMessage.IndirectReply(2, this.member, updates, true),
				new MembershipMessage.Gossip(this.member, updates),
				new MembershipMessage.SyncRequest(this.member, List.of(1L, -2L)),
				new MembershipMessage.SyncReply(this.member, updates, true))) {
			assertThat(this.codec.decode(this.codec.encode(message))).isEqualTo(message);
		}
	}

	@Test
	void ignoresNewerFields() throws Exception {
		MembershipMessage message = new MembershipMessage.Gossip(this.member, List.of());
		byte[] newer = MembershipProtocol.Envelope.parseFrom(this.codec.encode(message))
			.toBuilder()
			.setUnknownFields(UnknownFieldSet.newBuilder()
				.addField(99, UnknownFieldSet.Field.newBuilder().addVarint(1).build())
				.build())
			.build()
			.toByteArray();
		assertThat(this.codec.decode(newer)).isEqualTo(message);
	}

	@Test
	void rejectsRecordWithoutAddress() {
		byte[] bytes = MembershipProtocol.Envelope.newBuilder()
			.setSender(MembershipProtocol.MemberRecord.newBuilder().setName("a"))
			.setGossip(MembershipProtocol.Gossip.getDefaultInstance())
			.build()
			.toByteArray();
		assertThat(Try.of(() -> this.codec.decode(bytes)).getCause()).isInstanceOf(MalformedMessageException.class);
	}

	@Property(tries = 1000, seed = "1")
	void arbitraryBytesDecodeOrAreMalformed(@ForAll byte[] bytes) {
		try {
			assertThat(this.codec.decode(bytes)).isNotNull();
		}
		catch (MalformedMessageException exception) {
			assertThat(exception.peer()).isEqualTo("membership");
		}
	}

}
