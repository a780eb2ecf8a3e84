import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;

/** A small HTTP/1.1 reader and writer for the stand-ins. */
final class Http {
  /** Closes calls that take too long, also while their bodies are written. */
  private static final ScheduledExecutorService LIMITS =
      Executors.newSingleThreadScheduledExecutor(Http::daemon);

  private Http() {}

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // nothing is read from it any more
    }
  }

  /** A message: its first line, its headers by lower-case name, and its body. */
  static final class Message {
    String firstLine = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    /** Whether all of it came, by its own framing. */
    boolean complete;

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static InetSocketAddress address(String text) throws IOException {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        InetAddress.getByName(text.substring(0, colon)),
        Integer.parseInt(text.substring(colon + 1)));
  }

  static Socket connect(String address, int connectMillis, int readMillis) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(readMillis);
    socket.connect(address(address), connectMillis);
    return socket;
  }

  /** One call on a connection of its own. */
  static Message call(
      String address, String firstLine, Map<String, String> headers, byte[] body, int millis)
      throws IOException {
    try (Socket socket = connect(address, 1_000, millis)) {
      ScheduledFuture<?> limit = LIMITS.schedule(() -> close(socket), millis, MILLISECONDS);
      write(socket.getOutputStream(), firstLine, headers, body);
      Message answer = readResponse(new BufferedInputStream(socket.getInputStream()));
      limit.cancel(false);
      return answer;
    }
  }

  static void write(
      OutputStream output, String firstLine, Map<String, String> headers, byte[] body)
      throws IOException {
    output.write(head(firstLine, headers, body.length));
    output.write(body);
    output.flush();
  }

  static byte[] head(String firstLine, Map<String, String> headers, long length) {
    StringBuilder text = new StringBuilder(firstLine).append("\r\n");
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(length).append("\r\n\r\n");
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Reads a request; null if the connection ends before one begins. */
  static Message readRequest(InputStream input) throws IOException {
    Message message = readHead(input);
    if (message != null) {
      readBody(input, message, 0);
    }
    return message;
  }

  static Message readResponse(InputStream input) throws IOException {
    Message message = readHead(input);
    if (message == null) {
      throw new IOException("closed without an answer");
    }
    readBody(input, message, -1);
    return message;
  }

  /** Reads the head of a message; null if the connection ends before one begins. */
  static Message readHead(InputStream input) throws IOException {
    String line = line(input);
    if (line == null) {
      return null;
    }
    Message message = new Message();
    message.firstLine = line;
    while (true) {
      String header = line(input);
      if (header == null) {
        throw new IOException("closed inside a head");
      }
      if (header.isEmpty()) {
        return message;
      }
      int colon = header.indexOf(':');
      message.headers.put(
          header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
    }
  }

  private static String line(InputStream input) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = input.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        bytes.write(next);
      }
      next = input.read();
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  private static void readBody(InputStream input, Message message, long otherwise)
      throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
        while (true) {
          String size = line(input);
          if (size == null) {
            return;
          }
          int length = Integer.parseInt(size.trim(), 16);
          byte[] chunk = input.readNBytes(length);
          body.write(chunk);
          if (chunk.length < length || line(input) == null) {
            return;
          }
          if (length == 0) {
            message.complete = true;
            return;
          }
        }
      }
      String stated = message.header("content-length");
      long length = stated.isEmpty() ? otherwise : Long.parseLong(stated);
      byte[] read = length < 0 ? input.readAllBytes() : input.readNBytes((int) length);
      body.write(read);
      message.complete = length < 0 || read.length == length;
    } finally {
      message.body = body.toByteArray();
    }
  }
}
