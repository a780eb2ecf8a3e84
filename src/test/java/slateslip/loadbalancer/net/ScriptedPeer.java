package slateslip.loadbalancer.net;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server on a loopback port that handles each message with a script of the test. */
public final class ScriptedPeer implements Closeable {
  /** Handles a message. A script that returns without a response leaves the peer unresponsive. */
  public interface Script {
    void handle(Message message, Socket socket) throws Exception;
  }

  /** An HTTP message: the start line, the headers and the body. */
  public record Message(String first, Map<String, String> headers, byte[] body) {
    public String header(String name) {
      return headers.get(name);
    }

    public int status() {
      return Integer.parseInt(first.split(" ", -1)[1]);
    }

    public String target() {
      return first.split(" ", -1)[1];
    }

    public String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  public final ServerSocket listener;

  /** All requests except health checks, in the order of their arrival. */
  public final List<Message> requests = new CopyOnWriteArrayList<>();

  public final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** Connections that have ended. */
  public final List<Socket> ended = new CopyOnWriteArrayList<>();

  private final Script script;
  private final Thread acceptor;

  public ScriptedPeer(Script script) throws IOException {
    this(0, script);
  }

  /** Starts a peer at the given port, which another peer may have used before. */
  public ScriptedPeer(int port, Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    this.acceptor =
        daemon(
            () -> {
              while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                daemon(() -> serve(socket));
              }
            });
  }

  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Answers health checks and runs the script for all other messages, until the connection ends.
   */
  void serve(Socket socket) throws Exception {
    try (socket) {
      while (true) {
        Message message = read(socket.getInputStream());
        if (message.target().equals("/healthz")) {
          write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        requests.add(message);
        script.handle(message, socket);
      }
    } finally {
      ended.add(socket);
    }
  }

  /**
   * Closes the peer and waits for its acceptor thread. A thread inside {@code accept} keeps the
   * port open, and may accept one more connection, until it notices that the listener is closed.
   */
  @Override
  public void close() throws IOException {
    listener.close();
    join(acceptor);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** A task that runs on its own thread and may fail when its sockets are closed. */
  public interface Task {
    void run() throws Exception;
  }

  public static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The sockets have been closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Sends a response with a body. */
  public static void respond(Socket socket, int status, String headers, String body)
      throws IOException {
    write(
        socket,
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /** Closes a connection with a reset. */
  public static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Reads one message. Throws EOFException if the connection ends first. */
  public static Message read(InputStream in) throws IOException {
    String first = line(in);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException();
    }
    return new Message(first, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      line.write(c);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }
}
