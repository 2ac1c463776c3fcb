package org.wigeonmast.cli.standin;

/**
 * How a stand-in backend server works on the requests below a path.
 * <p>
 * Thread safety: immutable.
 *
 * @param pathPrefix the path prefix
 * @param serviceTimeMs the mean time of service of a healthy server in milliseconds
 * @param responseSizeBytes the size of an answer's body in bytes
 */
public record RequestProfile(String pathPrefix, long serviceTimeMs, int responseSizeBytes) {
}
