import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The link of one machine towards the control agents: a proxy in front of each agent that passes
 * bytes on at no more than the bandwidth of the link, for all connections together.
 */
final class Link implements AutoCloseable {
  private static final int CHUNK_BYTES = 4 * 1024;
  private static final int SOCKET_BUFFER_BYTES = 32 * 1024;

  private final double bytesPerNano;
  private final java.util.List<ServerSocket> listeners = new java.util.ArrayList<>();
  private long freeAtNanos = System.nanoTime();
  private volatile boolean closed;

  Link(double megabitsPerSecond) {
    bytesPerNano = megabitsPerSecond * 1e6 / 8 / 1e9;
  }

  /** Passes connections to an address and port on to another port of the same address. */
  void add(String ip, int port, int agentPort) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 64);
    listeners.add(listener);
    Backend.daemon("link", () -> accept(listener, ip, agentPort));
  }

  private void accept(ServerSocket listener, String ip, int agentPort) {
    while (!closed) {
      try {
        Socket near = listener.accept();
        near.setTcpNoDelay(true);
        Socket far = new Socket();
        far.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        try {
          far.connect(new InetSocketAddress(ip, agentPort), 1_000);
        } catch (IOException refused) {
          near.close();
          continue;
        }
        far.setTcpNoDelay(true);
        Backend.daemon("up", () -> pass(near, far, false));
        Backend.daemon("down", () -> pass(far, near, true));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void pass(Socket from, Socket to, boolean limited) {
    byte[] chunk = new byte[CHUNK_BYTES];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(chunk); count >= 0; count = in.read(chunk)) {
        if (limited) {
          awaitTurn(count);
        }
        out.write(chunk, 0, count);
      }
    } catch (IOException | InterruptedException ended) {
      // both ends are closed
    }
  }

  private void awaitTurn(int bytes) throws InterruptedException {
    long sendAt;
    synchronized (this) {
      sendAt = Math.max(System.nanoTime(), freeAtNanos) + (long) (bytes / bytesPerNano);
      freeAtNanos = sendAt;
    }
    long wait = sendAt - System.nanoTime();
    if (wait > 0) {
      Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }
}
