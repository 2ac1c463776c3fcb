package org.wigeonmast.proxy.internal;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Body of one request, held in memory while it is small, otherwise passed on in pieces.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: a replayable body is
 * complete and stays in memory until {@link #release()}; a body of which pieces were
 * taken is not replayable.
 */
final class RequestBody {

	private final ProxyContext context;

	private final List<ByteBuf> pieces = new ArrayList<>();

	private int reserved;

	private long received;

	private boolean complete;

	private boolean taken;

	RequestBody(ProxyContext context) {
		this.context = context;
	}

	/**
	 * Adds a piece.
	 * @param piece the piece, which this body then owns
	 * @param last whether it is the last one
	 */
	void add(ByteBuf piece, boolean last) {
		this.received += piece.readableBytes();
		this.complete = last;
		if (piece.isReadable()) {
			this.pieces.add(piece);
		}
		else {
			piece.release();
		}
	}

	/**
	 * Reserves memory for a piece that is about to be added.
	 * @param bytes the size of the piece
	 * @return whether the body can stay in memory
	 */
	boolean reserve(int bytes) {
		if (this.reserved + bytes > this.context.configuration().limits().replayableBody()
				|| !this.context.reserve(bytes)) {
			return false;
		}
		this.reserved += bytes;
		return true;
	}

	/**
	 * Takes the pieces that have arrived and were not taken.
	 * @return the pieces as one buffer, which the caller owns
	 */
	ByteBuf take() {
		this.taken = true;
		ByteBuf all = combine();
		this.pieces.clear();
		unreserve();
		return all;
	}

	/**
	 * Copies a complete body without copying its bytes.
	 * @return the body as one buffer, which the caller owns
	 */
	ByteBuf replay() {
		if (this.pieces.size() > 1) {
			ByteBuf all = combine();
			this.pieces.clear();
			this.pieces.add(all);
		}
		return this.pieces.isEmpty() ? Unpooled.EMPTY_BUFFER : this.pieces.getFirst().retainedDuplicate();
	}

	/** Releases the memory. */
	void release() {
		for (ByteBuf piece : this.pieces) {
			piece.release();
		}
		this.pieces.clear();
		unreserve();
	}

	boolean isComplete() {
		return this.complete;
	}

	boolean isTaken() {
		return this.taken;
	}

	boolean hasPieces() {
		return !this.pieces.isEmpty();
	}

	long received() {
		return this.received;
	}

	private ByteBuf combine() {
		return switch (this.pieces.size()) {
			case 0 -> Unpooled.EMPTY_BUFFER;
			case 1 -> this.pieces.getFirst();
			default -> Unpooled.wrappedBuffer(this.pieces.size(), this.pieces.toArray(ByteBuf[]::new));
		};
	}

	private void unreserve() {
		this.context.unreserve(this.reserved);
		this.reserved = 0;
	}

}
