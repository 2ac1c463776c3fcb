package org.wigeonmast.manifest.follow;

import java.util.List;

import com.google.protobuf.UnknownFieldSet;
import io.vavr.control.Try;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.manifest.internal.protocol.ManifestProtocol;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against messages that change in transit, against input from a peer that raises
 * an unexpected exception, and against the rejection of messages from a newer release.
 */
class ManifestCodecTests {

	private static final String HASH = "ab".repeat(32);

	private final ManifestCodec codec = new ManifestCodec();

	@Test
	void decodesWhatWasEncoded() throws Exception {
		VersionStamp stamp = new VersionStamp(7, HASH);
		Content content = new Content(Content.Encoding.DEFLATED, HASH, new byte[] { 1, 2 });
		for (ManifestMessage message : List.of(new ManifestMessage.Announcement(stamp),
				new ManifestMessage.Announcement(VersionStamp.NONE), new ManifestMessage.Query(5),
				new ManifestMessage.QueryReply(5, stamp, true), new ManifestMessage.IndexRequest(HASH, ""),
				new ManifestMessage.IndexReply(HASH, content),
				new ManifestMessage.PartRequest(HASH, HASH, List.of(HASH)),
				new ManifestMessage.PartReply(HASH, content))) {
			assertThat(this.codec.decode(this.codec.encode(message))).isEqualTo(message);
		}
	}

	@Test
	void ignoresNewerFields() throws Exception {
		ManifestMessage message = new ManifestMessage.Query(5);
		byte[] newer = ManifestProtocol.Envelope.parseFrom(this.codec.encode(message))
			.toBuilder()
			.setUnknownFields(UnknownFieldSet.newBuilder()
				.addField(99, UnknownFieldSet.Field.newBuilder().addVarint(1).build())
				.build())
			.build()
			.toByteArray();
		assertThat(this.codec.decode(newer)).isEqualTo(message);
	}

	@Test
	void rejectsHashOfWrongLength() {
		byte[] bytes = ManifestProtocol.Envelope.newBuilder()
			.setIndexRequest(ManifestProtocol.IndexRequest.getDefaultInstance())
			.build()
			.toByteArray();
		assertThat(Try.of(() -> this.codec.decode(bytes)).getCause()).isInstanceOf(MalformedMessageException.class);
	}

	@Property(tries = 1000, seed = "1")
	void anyBytesDecodeOrAreReportedMalformed(@ForAll byte[] bytes) {
		try {
			assertThat(this.codec.decode(bytes)).isNotNull();
		}
		catch (MalformedMessageException exception) {
			assertThat(exception.peer()).isEqualTo("manifest");
		}
	}

}
