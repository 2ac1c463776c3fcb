package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.DispatchEvent;
import org.wigeonmast.dispatch.DispatchMessage;
import org.wigeonmast.dispatch.ExchangeCommand;

/**
 * Buffer for the effects of one call of a component.
 * <p>
 * Thread safety: none.
 */
public final class EffectBuffer {

	private List<DispatchEffect> effects = new ArrayList<>();

	/**
	 * Adds an effect.
	 * @param effect the effect
	 */
	public void add(DispatchEffect effect) {
		this.effects.add(effect);
	}

	/**
	 * Adds a message.
	 * @param receiver the receiver
	 * @param message the message
	 */
	public void send(DaemonId receiver, DispatchMessage message) {
		add(new DispatchEffect.Send(receiver, message));
	}

	/**
	 * Adds a command to the proxy.
	 * @param command the command
	 */
	public void sendCommand(ExchangeCommand command) {
		add(new DispatchEffect.Exchange(command));
	}

	/**
	 * Adds a log event.
	 * @param event the event
	 * @param parameters the values for its text
	 */
	public void log(DispatchEvent event, Object... parameters) {
		add(new DispatchEffect.Logged(event, List.of(parameters)));
	}

	/**
	 * Returns the effects and clears the buffer.
	 * @return the effects in order
	 */
	public List<DispatchEffect> drain() {
		List<DispatchEffect> result = this.effects;
		this.effects = new ArrayList<>();
		return result;
	}

}
