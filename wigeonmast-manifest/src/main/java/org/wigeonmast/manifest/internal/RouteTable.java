package org.wigeonmast.manifest.internal;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.manifest.Route;

/**
 * An open-addressing hash table of routes by path prefix.
 * <p>
 * Thread safety: immutable once built. Invariant: a lookup hashes the path incrementally
 * and probes at each segment boundary up to the depth of the deepest route, so its cost
 * does not depend on the number of routes; it allocates no objects.
 */
public final class RouteTable {

	private static final String ANY_METHOD = "*";

	private static final char SEPARATOR = '/';

	private final int bits;

	private final int[] fingerprints;

	private final @Nullable Route[] table;

	private int maxDepth;

	/**
	 * Creates an empty table.
	 * @param count the maximum number of routes
	 */
	RouteTable(int count) {
		this.bits = TextHash.bits(count);
		this.fingerprints = new int[1 << this.bits];
		this.table = new Route[1 << this.bits];
	}

	/**
	 * Inserts a route.
	 * @param route the route
	 * @return the route that already has the same method and path prefix, or {@code null}
	 * for none
	 */
	@Nullable Route insert(Route route) {
		String prefix = prefix(route);
		long hash = TextHash.of(prefix);
		int fingerprint = fingerprint(hash);
		int slot = TextHash.slot(hash, this.bits);
		for (; this.fingerprints[slot] != 0; slot = nextSlot(slot)) {
			Route found = this.table[slot];
			if (found != null && this.fingerprints[slot] == fingerprint && prefix(found).equals(prefix)
					&& found.method().equals(route.method())) {
				return found;
			}
		}
		this.fingerprints[slot] = fingerprint;
		this.table[slot] = route;
		this.maxDepth = Math.max(this.maxDepth, depth(prefix));
		return null;
	}

	/**
	 * Returns the matching route with the longest path prefix; among routes with the same
	 * prefix, one for the given method takes precedence over one for any method.
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable Route find(String method, String path) {
		if (path.isEmpty() || path.charAt(0) != SEPARATOR) {
			return null;
		}
		Route best = probe(method, path, 0, TextHash.EMPTY);
		long hash = TextHash.append(TextHash.EMPTY, SEPARATOR);
		int level = 0;
		for (int i = 1; i <= path.length() && level < this.maxDepth; i++) {
			char character = (i < path.length()) ? path.charAt(i) : SEPARATOR;
			if (character == SEPARATOR) {
				Route found = probe(method, path, i, hash);
				best = (found != null) ? found : best;
				level++;
			}
			hash = TextHash.append(hash, character);
		}
		return best;
	}

	private @Nullable Route probe(String method, String path, int length, long hash) {
		int fingerprint = fingerprint(hash);
		Route best = null;
		for (int slot = TextHash.slot(hash, this.bits); this.fingerprints[slot] != 0; slot = nextSlot(slot)) {
			Route route = this.table[slot];
			if (this.fingerprints[slot] == fingerprint && route != null && hasPrefix(route, path, length)) {
				if (route.method().equals(method)) {
					return route;
				}
				if (route.method().equals(ANY_METHOD)) {
					best = route;
				}
			}
		}
		return best;
	}

	private int nextSlot(int slot) {
		return (slot + 1) & (this.table.length - 1);
	}

	/**
	 * Returns the bits of a hash that are compared before the route itself is accessed.
	 * @param hash the hash
	 * @return the fingerprint, never 0
	 */
	private static int fingerprint(long hash) {
		return (int) hash | 1;
	}

	private static boolean hasPrefix(Route route, String path, int length) {
		String prefix = prefix(route);
		return prefix.length() == length && path.startsWith(prefix);
	}

	private static String prefix(Route route) {
		// The prefix "/" matches every path and is stored as the empty prefix.
		String prefix = route.pathPrefix();
		return (prefix.length() == 1) ? "" : prefix;
	}

	private static int depth(String pathPrefix) {
		return (int) pathPrefix.chars().filter((character) -> character == SEPARATOR).count();
	}

}
