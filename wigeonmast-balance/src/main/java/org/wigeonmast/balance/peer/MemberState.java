package org.wigeonmast.balance.peer;

/** The state of a daemon; the order is part of the wire protocol. */
public enum MemberState {

	/** It answers. */
	ALIVE,

	/** It did not answer some daemon and counts as live until it is gone. */
	SUSPECT,

	/** It stopped, or it did not refute its suspicion in time. */
	GONE

}
