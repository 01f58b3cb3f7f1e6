package org.jaywood.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Connection through the network stand-in. A failure on one side resets both sides, so
 * that neither mistakes truncated data for complete data.
 */
final class NetworkConnection {

	private final NetworkVm opener;

	private final NetworkVm acceptor;

	private final Socket openerSocket;

	private final Socket targetSocket;

	private final CountDownLatch openOutputs = new CountDownLatch(2);

	/**
	 * Creates a connection.
	 * @param opener the VM that opened the connection
	 * @param acceptor the VM that the connection goes to
	 * @param openerSocket socket to the opener
	 * @param targetSocket socket to the real address of the acceptor
	 */
	NetworkConnection(NetworkVm opener, NetworkVm acceptor, Socket openerSocket, Socket targetSocket)
			throws IOException {
		this.opener = opener;
		this.acceptor = acceptor;
		this.openerSocket = openerSocket;
		this.targetSocket = targetSocket;
		openerSocket.setTcpNoDelay(true);
		targetSocket.setTcpNoDelay(true);
	}

	NetworkVm opener() {
		return this.opener;
	}

	NetworkVm acceptor() {
		return this.acceptor;
	}

	InputStream input(boolean reply) throws IOException {
		return (reply ? this.targetSocket : this.openerSocket).getInputStream();
	}

	OutputStream output(boolean reply) throws IOException {
		return (reply ? this.openerSocket : this.targetSocket).getOutputStream();
	}

	void endOutput(boolean reply) throws IOException {
		(reply ? this.openerSocket : this.targetSocket).shutdownOutput();
		this.openOutputs.countDown();
	}

	/**
	 * Forwards bytes in both directions until both have ended or one fails.
	 */
	void run(NetworkTopology topology, NetworkFaults faults) throws InterruptedException {
		NetworkFlow request = new NetworkFlow(this, topology, faults, false);
		NetworkFlow reply = new NetworkFlow(this, topology, faults, true);
		List<Thread> threads = List.of(start(request::readBlocks), start(request::writeBlocks),
				start(reply::readBlocks), start(reply::writeBlocks));
		try {
			this.openOutputs.await();
		}
		finally {
			threads.forEach(Thread::interrupt);
			closeWithoutReset();
		}
	}

	private Thread start(ForwardingTask task) {
		return Thread.startVirtualThread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				reset();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	/**
	 * Closes both sides without a reset, as at the normal end of the data.
	 */
	void closeWithoutReset() {
		close(this.openerSocket, false);
		close(this.targetSocket, false);
		endOutputs();
	}

	/**
	 * Resets both sides, so that each gets an I/O error.
	 */
	void reset() {
		close(this.openerSocket, true);
		close(this.targetSocket, true);
		endOutputs();
	}

	private void endOutputs() {
		this.openOutputs.countDown();
		this.openOutputs.countDown();
	}

	static void close(Socket socket, boolean reset) {
		try {
			if (reset && !socket.isClosed()) {
				socket.setSoLinger(true, 0);
			}
			socket.close();
		}
		catch (IOException ex) {
			// The socket is not used again.
		}
	}

	/**
	 * Task of a forwarding thread.
	 */
	@FunctionalInterface
	private interface ForwardingTask {

		void run() throws IOException, InterruptedException;

	}

}
