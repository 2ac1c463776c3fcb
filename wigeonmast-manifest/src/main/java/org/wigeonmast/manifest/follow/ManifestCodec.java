package org.wigeonmast.manifest.follow;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.MessageCodec;
import org.wigeonmast.manifest.internal.protocol.ManifestProtocol;

/**
 * The protobuf codec for messages between manifest followers.
 * <p>
 * Thread safety: immutable. Invariant: every hash of a decoded message is a SHA-256 in
 * lower-case hexadecimal, or empty where the message permits none.
 */
public final class ManifestCodec implements MessageCodec<ManifestMessage> {

	private static final String SLICE = "manifest";

	private static final int HASH_BYTES = 32;

	private static final int MAX_HASHES = 1024;

	@Override
	public byte[] encode(ManifestMessage message) {
		ManifestProtocol.Envelope.Builder envelope = ManifestProtocol.Envelope.newBuilder();
		switch (message) {
			case ManifestMessage.Announcement announcement -> envelope
				.setAnnouncement(ManifestProtocol.Announcement.newBuilder().setStamp(encode(announcement.stamp())));
			case ManifestMessage.Query query ->
				envelope.setQuery(ManifestProtocol.Query.newBuilder().setNumber(query.number()));
			case ManifestMessage.QueryReply reply -> envelope.setQueryReply(ManifestProtocol.QueryReply.newBuilder()
				.setNumber(reply.number())
				.setStamp(encode(reply.stamp()))
				.setReady(reply.ready()));
			case ManifestMessage.IndexRequest request ->
				envelope.setIndexRequest(ManifestProtocol.IndexRequest.newBuilder()
					.setHash(encode(request.hash()))
					.setBase(encode(request.base())));
			case ManifestMessage.IndexReply reply -> envelope.setIndexReply(ManifestProtocol.IndexReply.newBuilder()
				.setHash(encode(reply.hash()))
				.setContent(encode(reply.content())));
			case ManifestMessage.PartRequest request ->
				envelope.setPartRequest(ManifestProtocol.PartRequest.newBuilder()
					.setIndex(encode(request.index()))
					.setBase(encode(request.base()))
					.addAllHashes(request.hashes().stream().map(ManifestCodec::encode).toList()));
			case ManifestMessage.PartReply reply -> envelope.setPartReply(ManifestProtocol.PartReply.newBuilder()
				.setHash(encode(reply.hash()))
				.setContent(encode(reply.content())));
		}
		return envelope.build().toByteArray();
	}

	@Override
	public ManifestMessage decode(byte[] bytes) throws MalformedMessageException {
		ManifestProtocol.Envelope envelope;
		try {
			envelope = ManifestProtocol.Envelope.parseFrom(bytes);
		}
		catch (InvalidProtocolBufferException exception) {
			throw new MalformedMessageException(SLICE, "not a manifest message", exception);
		}
		return switch (envelope.getBodyCase()) {
			case ANNOUNCEMENT -> new ManifestMessage.Announcement(decode(envelope.getAnnouncement().getStamp()));
			case QUERY -> new ManifestMessage.Query(envelope.getQuery().getNumber());
			case QUERY_REPLY -> new ManifestMessage.QueryReply(envelope.getQueryReply().getNumber(),
					decode(envelope.getQueryReply().getStamp()), envelope.getQueryReply().getReady());
			case INDEX_REQUEST -> new ManifestMessage.IndexRequest(decodeHash(envelope.getIndexRequest().getHash()),
					decodeOptionalHash(envelope.getIndexRequest().getBase()));
			case INDEX_REPLY -> new ManifestMessage.IndexReply(decodeHash(envelope.getIndexReply().getHash()),
					decode(envelope.getIndexReply().getContent()));
			case PART_REQUEST -> decode(envelope.getPartRequest());
			case PART_REPLY -> new ManifestMessage.PartReply(decodeHash(envelope.getPartReply().getHash()),
					decode(envelope.getPartReply().getContent()));
			case BODY_NOT_SET -> throw new MalformedMessageException(SLICE, "unknown kind of message", null);
		};
	}

	private static ManifestMessage decode(ManifestProtocol.PartRequest request) throws MalformedMessageException {
		check(request.getHashesCount() <= MAX_HASHES, "too many hashes");
		List<String> hashes = new ArrayList<>(request.getHashesCount());
		for (ByteString value : request.getHashesList()) {
			hashes.add(decodeHash(value));
		}
		return new ManifestMessage.PartRequest(decodeHash(request.getIndex()), decodeOptionalHash(request.getBase()),
				hashes);
	}

	private static ManifestProtocol.Stamp encode(VersionStamp stamp) {
		return ManifestProtocol.Stamp.newBuilder().setVersion(stamp.version()).setHash(encode(stamp.hash())).build();
	}

	private static VersionStamp decode(ManifestProtocol.Stamp stamp) throws MalformedMessageException {
		check(stamp.getVersion() >= 0, "negative version");
		return (stamp.getVersion() == 0) ? VersionStamp.NONE
				: new VersionStamp(stamp.getVersion(), decodeHash(stamp.getHash()));
	}

	private static ManifestProtocol.Content encode(Content content) {
		return ManifestProtocol.Content.newBuilder().setEncoding(switch (content.encoding()) {
			case PLAIN -> ManifestProtocol.Encoding.ENCODING_PLAIN;
			case DEFLATED -> ManifestProtocol.Encoding.ENCODING_DEFLATED;
		}).setBase(encode(content.base())).setBytes(ByteString.copyFrom(content.bytes())).build();
	}

	private static Content decode(ManifestProtocol.Content content) throws MalformedMessageException {
		Content.Encoding encoding = switch (content.getEncoding()) {
			case ENCODING_PLAIN -> Content.Encoding.PLAIN;
			case ENCODING_DEFLATED -> Content.Encoding.DEFLATED;
			case UNRECOGNIZED -> throw new MalformedMessageException(SLICE, "unknown encoding of content", null);
		};
		return new Content(encoding, decodeOptionalHash(content.getBase()), content.getBytes().toByteArray());
	}

	private static ByteString encode(String hash) {
		return ByteString.copyFrom(HexFormat.of().parseHex(hash));
	}

	private static String decodeHash(ByteString value) throws MalformedMessageException {
		check(value.size() == HASH_BYTES, "a hash has " + value.size() + " bytes");
		return HexFormat.of().formatHex(value.toByteArray());
	}

	private static String decodeOptionalHash(ByteString value) throws MalformedMessageException {
		return (value.isEmpty()) ? "" : decodeHash(value);
	}

	private static void check(boolean condition, String message) throws MalformedMessageException {
		if (!condition) {
			throw new MalformedMessageException(SLICE, message, null);
		}
	}

}
