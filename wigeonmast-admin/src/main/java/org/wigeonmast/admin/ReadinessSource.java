package org.wigeonmast.admin;

/**
 * Source of the daemon's readiness.
 * <p>
 * Thread safety: implementations are usable from any thread and never block, since load
 * balancers poll the readiness often.
 */
@FunctionalInterface
public interface ReadinessSource {

	/**
	 * Returns the current readiness.
	 * @return the readiness
	 */
	Readiness readiness();

}
