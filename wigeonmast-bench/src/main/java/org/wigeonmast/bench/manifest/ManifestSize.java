package org.wigeonmast.bench.manifest;

/**
 * The numbers of entries of a generated manifest.
 * <p>
 * Thread safety: immutable.
 *
 * @param domains the failure domains
 * @param services the services
 * @param servers the backend servers over all services
 * @param routes the routes
 * @param callers the callers with limits
 */
record ManifestSize(int domains, int services, int servers, int routes, int callers) {

	/** The size to design for. */
	static final ManifestSize DESIGN = new ManifestSize(15, 980, 45_000, 44_000, 80_000);

	/** The size of the larger current user. */
	static final ManifestSize TODAY = new ManifestSize(4, 3, 33, 30, 200);

}
