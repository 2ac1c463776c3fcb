package org.wigeonmast.bench.detection;

/**
 * The size of one service in one region.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the user and the number of servers
 * @param servers the number of backend servers
 * @param slots the slots of each
 * @param rate the requests per second and server
 */
record Setup(String name, int servers, int slots, double rate) {

	/** Entry daemons, each of which sends requests to all servers. */
	static final int DAEMONS = 36;

	private static final int SMALL = 4;

	private static final int LARGE = 8;

	private static final int KITCHENS_SLOTS = 2;

	private static final int ARCHIVES_SLOTS = 3;

	/**
	 * Returns the setup for a seed; seeds take turns between both users and the numbers
	 * of servers that one owner compares.
	 * @param seed the seed
	 * @param rate the requests per second and server
	 * @return the setup
	 */
	static Setup of(long seed, double rate) {
		boolean kitchens = seed % 2 == 0;
		int servers = (seed / 2 % 2 == 0) ? LARGE : SMALL;
		return new Setup((kitchens ? "kitchens-" : "archives-") + servers, servers,
				kitchens ? KITCHENS_SLOTS : ARCHIVES_SLOTS, rate);
	}

}
