/** Daemon threads, which do not keep the case's process alive. */
final class Threads {

	private Threads() {
	}

	static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	static void sleep(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException exception) {
			throw new IllegalStateException(exception);
		}
	}

}
