package org.wigeonmast.admin;

/**
 * Tells whether the daemon is ready to serve.
 * <p>
 * Thread safety: implementations are usable from any thread and never wait, since load
 * balancers ask often.
 */
@FunctionalInterface
public interface ReadinessSource {

	/**
	 * Returns whether the daemon is ready.
	 * @return the readiness
	 */
	Readiness readiness();

}
