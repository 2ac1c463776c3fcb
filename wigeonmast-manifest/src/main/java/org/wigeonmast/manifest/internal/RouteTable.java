package org.wigeonmast.manifest.internal;

import java.util.Arrays;
import java.util.Collection;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.manifest.Route;

/**
 * The routes by path prefix, in an open-addressing hash table.
 * <p>
 * Thread safety: immutable. Invariant: a lookup hashes the path once from its start and
 * probes at each segment boundary up to the depth of the deepest route, so its cost does
 * not depend on the number of routes, and it allocates nothing.
 */
public final class RouteTable {

	private static final String EVERY_METHOD = "*";

	private static final char SEPARATOR = '/';

	private static final int HASH_FACTOR = 31;

	/** Spreads the bits of a hash over the table; the golden ratio times two to 32. */
	private static final int SPREAD = 0x9E3779B9;

	private final @Nullable Route[] table;

	private final int shift;

	private final int depth;

	/**
	 * Creates a table.
	 * @param routes the routes, of which no two have the same method and path prefix
	 */
	public RouteTable(Collection<Route> routes) {
		int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, routes.size() * 2 - 1));
		this.table = new Route[1 << bits];
		this.shift = Integer.SIZE - bits;
		int deepest = 0;
		for (Route route : routes) {
			insert(route);
			deepest = Math.max(deepest, depth(route.pathPrefix()));
		}
		this.depth = deepest;
	}

	/**
	 * Returns the matching route with the longest path prefix; a route of the method goes
	 * before one of every method with the same prefix.
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable Route find(String method, String path) {
		if (path.isEmpty() || path.charAt(0) != SEPARATOR) {
			return null;
		}
		Route best = probe(method, path, 0, 0);
		int hash = 0;
		int level = 0;
		for (int i = 0; i <= path.length() && level <= this.depth; i++) {
			if (i > 0 && (i == path.length() || path.charAt(i) == SEPARATOR)) {
				Route found = probe(method, path, i, hash);
				best = (found != null) ? found : best;
				level++;
			}
			if (i < path.length()) {
				hash = HASH_FACTOR * hash + path.charAt(i);
			}
		}
		return best;
	}

	private @Nullable Route probe(String method, String path, int length, int hash) {
		Route best = null;
		for (int slot = slot(hash); this.table[slot] != null; slot = next(slot)) {
			Route route = this.table[slot];
			if (length(route) == length && path.startsWith(prefix(route))) {
				if (route.method().equals(method)) {
					return route;
				}
				if (route.method().equals(EVERY_METHOD)) {
					best = route;
				}
			}
		}
		return best;
	}

	private void insert(Route route) {
		int hash = prefix(route).hashCode();
		int slot = slot(hash);
		while (this.table[slot] != null) {
			slot = next(slot);
		}
		this.table[slot] = route;
	}

	private int slot(int hash) {
		return (this.shift == Integer.SIZE) ? 0 : (hash * SPREAD) >>> this.shift;
	}

	private int next(int slot) {
		return (slot + 1) & (this.table.length - 1);
	}

	private static int length(Route route) {
		return prefix(route).length();
	}

	private static String prefix(Route route) {
		// The prefix "/" matches every path, so it stands for the empty prefix.
		String prefix = route.pathPrefix();
		return (prefix.length() == 1) ? "" : prefix;
	}

	private static int depth(String pathPrefix) {
		return (int) pathPrefix.chars().filter((character) -> character == SEPARATOR).count();
	}

	@Override
	public String toString() {
		return "RouteTable of " + Arrays.stream(this.table).filter((route) -> route != null).count() + " routes";
	}

}
