package org.wigeonmast.proxy.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/**
 * Body of one request, held in memory while it is small, otherwise passed on in pieces.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: a replayable body is
 * complete and stays in memory until {@link #release()}; a body of which bytes were taken
 * is not replayable. Held pieces are copied into one buffer, because each piece would
 * otherwise keep the whole buffer in which it was received: a body that arrives byte by
 * byte would take hundreds of times its size.
 */
final class RequestBody {

	private final ProxyContext context;

	private @Nullable ByteBuf held;

	private int reserved;

	private long received;

	private boolean complete;

	private boolean taken;

	RequestBody(ProxyContext context) {
		this.context = context;
	}

	/**
	 * Counts a piece that arrived.
	 * @param bytes the size of the piece
	 * @param last whether it is the last one
	 */
	void count(int bytes, boolean last) {
		this.received += bytes;
		this.complete = last;
	}

	/**
	 * Holds a piece.
	 * @param piece the piece, which is released
	 */
	void hold(ByteBuf piece) {
		if (piece.isReadable()) {
			if (this.held == null) {
				this.held = PooledByteBufAllocator.DEFAULT.buffer(piece.readableBytes());
			}
			this.held.writeBytes(piece);
		}
		piece.release();
	}

	/**
	 * Reserves memory for a piece that is about to be held.
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
	 * Takes the bytes that are held.
	 * @return the bytes, which the caller owns
	 */
	ByteBuf take() {
		this.taken = true;
		ByteBuf all = this.held;
		this.held = null;
		unreserve();
		return (all != null) ? all : Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Returns a complete body without copying its bytes.
	 * @return the body, which the caller owns
	 */
	ByteBuf replay() {
		return (this.held != null) ? this.held.retainedDuplicate() : Unpooled.EMPTY_BUFFER;
	}

	/** Releases the memory. */
	void release() {
		if (this.held != null) {
			this.held.release();
			this.held = null;
		}
		unreserve();
	}

	boolean isComplete() {
		return this.complete;
	}

	boolean isTaken() {
		return this.taken;
	}

	long received() {
		return this.received;
	}

	private void unreserve() {
		this.context.unreserve(this.reserved);
		this.reserved = 0;
	}

}
