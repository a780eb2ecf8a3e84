import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A connection of a client to a data plane. */
final class Client implements AutoCloseable {
  private static final int READ_BYTES = 16 * 1024;

  /** How the reading of one answer ended. */
  enum End {
    WHOLE,
    FOREIGN_BYTES,
    CLOSED_EARLY,
    SILENT
  }

  /** One answer as far as it came. */
  record Answer(End end, String status, int bytes, int length, double seconds, String foreign) {
    boolean isSuccess() {
      return status.contains(" 200 ");
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(String ip, int port, int receiveBufferBytes) throws IOException {
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.connect(new InetSocketAddress(ip, port), 1_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream(), READ_BYTES);
  }

  void send(String path, String id, int deadlineMillis) throws IOException {
    send(path, id, deadlineMillis, null);
  }

  /** Sends a request without a body, with an API key unless it is null. */
  void send(String path, String id, int deadlineMillis, String key) throws IOException {
    String head =
        "POST "
            + path
            + id
            + " HTTP/1.1\r\nHost: "
            + Configurations.HOST
            + "\r\nX-Attempt-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + deadlineMillis
            + (key == null ? "" : "\r\nX-Credential: " + key)
            + "\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Reads one answer, no faster than a number of bytes a second, until a time after the call.
   *
   * @param letter the byte of which the body of a success consists; 0 for any bytes
   */
  Answer read(byte letter, int bytesPerSecond, int untilMillis) throws InterruptedException {
    long startNanos = System.nanoTime();
    String status = "no status line";
    int got = 0;
    int length = -1;
    try {
      limitWait(startNanos, untilMillis);
      String line = Backend.line(in);
      if (line == null) {
        return answer(End.CLOSED_EARLY, status, got, length, startNanos, "");
      }
      status = line;
      for (line = Backend.line(in); line != null && !line.isEmpty(); line = Backend.line(in)) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring("content-length:".length()).trim());
        }
      }
      byte[] buffer = new byte[READ_BYTES];
      while (got < length) {
        limitWait(startNanos, untilMillis);
        int count = in.read(buffer, 0, Math.min(buffer.length, length - got));
        if (count < 0) {
          return answer(End.CLOSED_EARLY, status, got, length, startNanos, "");
        }
        if (letter != 0 && status.contains(" 200 ") && buffer[0] != letter) {
          String text = new String(buffer, 0, Math.min(count, 90), StandardCharsets.UTF_8);
          return answer(
              End.FOREIGN_BYTES, status, got, length, startNanos, text.replace("\r\n", " | "));
        }
        got += count;
        pace(startNanos, got, bytesPerSecond);
      }
      return answer(End.WHOLE, status, got, length, startNanos, "");
    } catch (SocketTimeoutException silent) {
      return answer(End.SILENT, status, got, length, startNanos, "");
    } catch (IOException reset) {
      return answer(End.CLOSED_EARLY, status, got, length, startNanos, "");
    }
  }

  private void limitWait(long startNanos, int untilMillis) throws IOException {
    long leftMillis = untilMillis - (System.nanoTime() - startNanos) / 1_000_000;
    if (leftMillis <= 0) {
      throw new SocketTimeoutException("the time is over");
    }
    socket.setSoTimeout((int) leftMillis);
  }

  private static void pace(long startNanos, int got, int bytesPerSecond)
      throws InterruptedException {
    if (bytesPerSecond > 0) {
      long dueMillis = 1_000L * got / bytesPerSecond;
      long aheadMillis = dueMillis - (System.nanoTime() - startNanos) / 1_000_000;
      if (aheadMillis > 0) {
        Thread.sleep(aheadMillis);
      }
    }
  }

  private static Answer answer(
      End end, String status, int bytes, int length, long startNanos, String foreign) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    return new Answer(end, status, bytes, length, seconds, foreign);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
