package slateslip.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The link of one data plane from the control agents: a proxy beside each agent that passes bytes
 * to the data plane at no more than one rate for all connections together.
 */
final class SlowLink implements AutoCloseable {
  private static final int CHUNK_BYTES = 4 * 1024;

  /** Small, so that bytes wait at the agent and not in the proxy. */
  private static final int SOCKET_BUFFER_BYTES = 32 * 1024;

  private static final int CONNECT_MILLIS = 1_000;
  private static final int BACKLOG = 64;
  private static final long BITS_PER_BYTE = 8;

  private final long bitsPerSecond;
  private final List<ServerSocket> listeners = new ArrayList<>();
  private long freeAtNanos = System.nanoTime();

  SlowLink(long bitsPerSecond) {
    this.bitsPerSecond = bitsPerSecond;
  }

  /** Passes connections to one port of an address on to another port of the same address. */
  void add(InetSocketAddress from, InetSocketAddress to) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(from, BACKLOG);
    listeners.add(listener);
    start(() -> accept(listener, to));
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "slow-link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket listener, InetSocketAddress agent) {
    while (!listener.isClosed()) {
      try {
        connect(listener.accept(), agent);
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void connect(Socket dataPlane, InetSocketAddress agent) throws IOException {
    Socket toAgent = new Socket();
    try {
      dataPlane.setTcpNoDelay(true);
      toAgent.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
      toAgent.connect(agent, CONNECT_MILLIS);
      toAgent.setTcpNoDelay(true);
    } catch (IOException unreachable) {
      dataPlane.close();
      toAgent.close();
      return;
    }
    start(() -> pass(dataPlane, toAgent, false));
    start(() -> pass(toAgent, dataPlane, true));
  }

  private void pass(Socket from, Socket to, boolean limited) {
    byte[] chunk = new byte[CHUNK_BYTES];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(chunk); count >= 0; count = in.read(chunk)) {
        if (limited) {
          TimeUnit.NANOSECONDS.sleep(reserve(count) - System.nanoTime());
        }
        out.write(chunk, 0, count);
      }
    } catch (IOException ended) {
      // both ends are closed
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the time at which the last of these bytes has passed the link. */
  private synchronized long reserve(int bytes) {
    long nanos = TimeUnit.SECONDS.toNanos(bytes * BITS_PER_BYTE) / bitsPerSecond;
    freeAtNanos = Math.max(System.nanoTime(), freeAtNanos) + nanos;
    return freeAtNanos;
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }
}
