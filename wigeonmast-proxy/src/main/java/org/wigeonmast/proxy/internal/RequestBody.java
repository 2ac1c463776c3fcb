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

	private @Nullable ByteBuf buffer;

	private int reservedBytes;

	private long receivedBytes;

	private boolean complete;

	private boolean streamed;

	RequestBody(ProxyContext context) {
		this.context = context;
	}

	/**
	 * Counts a piece that arrived.
	 * @param bytes the size of the piece
	 * @param last whether it is the last one
	 */
	void recordReceived(int bytes, boolean last) {
		this.receivedBytes += bytes;
		this.complete = last;
	}

	/**
	 * Holds a piece.
	 * @param piece the piece, which is released
	 */
	void append(ByteBuf piece) {
		if (piece.isReadable()) {
			if (this.buffer == null) {
				this.buffer = PooledByteBufAllocator.DEFAULT.buffer(piece.readableBytes());
			}
			this.buffer.writeBytes(piece);
		}
		piece.release();
	}

	/**
	 * Reserves memory for a piece that is about to be held.
	 * @param bytes the size of the piece
	 * @return whether the body can stay in memory
	 */
	boolean reserveMemory(int bytes) {
		if (this.reservedBytes + bytes > this.context.configuration().limits().replayableBody()
				|| !this.context.reserveBodyMemory(bytes)) {
			return false;
		}
		this.reservedBytes += bytes;
		return true;
	}

	/**
	 * Takes the bytes that are held.
	 * @return the bytes, which the caller owns
	 */
	ByteBuf takeBuffered() {
		this.streamed = true;
		ByteBuf all = this.buffer;
		this.buffer = null;
		releaseReservation();
		return (all != null) ? all : Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Returns a complete body without copying its bytes.
	 * @return the body, which the caller owns
	 */
	ByteBuf duplicate() {
		return (this.buffer != null) ? this.buffer.retainedDuplicate() : Unpooled.EMPTY_BUFFER;
	}

	/** Releases the memory. */
	void release() {
		if (this.buffer != null) {
			this.buffer.release();
			this.buffer = null;
		}
		releaseReservation();
	}

	boolean isComplete() {
		return this.complete;
	}

	boolean isStreamed() {
		return this.streamed;
	}

	long receivedBytes() {
		return this.receivedBytes;
	}

	private void releaseReservation() {
		this.context.releaseBodyMemory(this.reservedBytes);
		this.reservedBytes = 0;
	}

}
