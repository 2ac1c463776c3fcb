package org.wigeonmast.cli.standin;

/**
 * Service time and response size of a stand-in backend server for the requests below a
 * path.
 * <p>
 * Thread safety: immutable.
 *
 * @param pathPrefix the path prefix
 * @param serviceTimeMs the mean service time of a healthy server in milliseconds
 * @param responseSizeBytes the size of a response body in bytes
 */
public record RequestProfile(String pathPrefix, long serviceTimeMs, int responseSizeBytes) {
}
