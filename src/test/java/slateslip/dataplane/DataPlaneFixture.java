package slateslip.dataplane;

import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import slateslip.configuration.IngressLimits;
import slateslip.dataplane.backend.BackendPools;
import slateslip.dataplane.forwarding.Forwarder;
import slateslip.dataplane.ingress.ClientIngress;
import slateslip.dataplane.transport.PollableSocketChannel;
import slateslip.distribution.BackendSession;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.routing.KeyLease;
import slateslip.routing.RequestRouter;

/**
 * The request path of a data plane on loopback ports, with scripted clients and scripted backends.
 */
final class DataPlaneFixture implements Closeable {
  static final int TIMEOUT_MILLIS = 20_000;
  private static final int MAX_CONNECTIONS = 200;
  private static final int STREAM_POLL_MILLIS = 24;
  private static final String STAMP = "X-Response-Stamp: s1\r\n";

  final SequentialRouter router = new SequentialRouter();
  final DataPlaneMetrics metrics = new DataPlaneMetrics();
  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final EventLoop loop = group.next();
  final PeriodicTasks periodic = new PeriodicTasks(loop, metrics.wakeUps);
  final BackendPools pools;
  final KeyLease keyLease;
  final Forwarder forwarder;
  final ClientIngress ingress;
  final List<ScriptedPeer> backends = new ArrayList<>();
  private final List<BackendSession> sessions = new ArrayList<>();
  private final List<Socket> clients = new ArrayList<>();

  DataPlaneFixture() throws IOException {
    this(null);
  }

  /** Creates a fixture with this router, or with {@link #router} if it is null. */
  DataPlaneFixture(RequestRouter customRouter) throws IOException {
    this(customRouter, KeyLease.notRequired());
  }

  /**
   * Creates a fixture with this router, or with {@link #router} if it is null, and a lease for
   * requests with keys.
   */
  DataPlaneFixture(RequestRouter customRouter, KeyLease keyLease) throws IOException {
    this(customRouter, keyLease, PollableSocketChannel::new);
  }

  /**
   * Creates a fixture with this router, or with {@link #router} if it is null, a lease for requests
   * with keys, and a factory for the sockets to backends.
   */
  DataPlaneFixture(
      RequestRouter customRouter, KeyLease keyLease, ChannelFactory<PollableSocketChannel> sockets)
      throws IOException {
    this.keyLease = keyLease;
    pools = new BackendPools(loop, periodic, MAX_CONNECTIONS, STREAM_POLL_MILLIS, metrics, sockets);
    RequestRouter usedRouter = customRouter == null ? router : customRouter;
    forwarder =
        new Forwarder(
            loop, usedRouter, () -> System.nanoTime() / 1_000, pools, metrics, 1, keyLease);
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    ingress = new ClientIngress(loop, periodic, anyPort, MAX_CONNECTIONS, forwarder);
    periodic.every(PeriodicTasks.TICK_MILLIS, forwarder::wakeIfDue);
    periodic.start();
  }

  /** Starts a backend and lists it with the next id: {@code b-1}, {@code b-2} and so on. */
  ScriptedPeer backend(ScriptedPeer.Script script) throws IOException {
    ScriptedPeer peer = new ScriptedPeer(script);
    backends.add(peer);
    listBackend(peer.address());
    return peer;
  }

  /** Lists a backend at an address that refuses connections. */
  void deadBackend() throws IOException {
    ScriptedPeer peer = new ScriptedPeer((message, socket) -> {});
    peer.close();
    listBackend(peer.address());
  }

  /** Lists a backend at this address with the next id. */
  void listBackend(String address) {
    String id = "b-" + (sessions.size() + 1);
    sessions.add(new BackendSession(id, "svc", address, "z", "v1", 4, false, 0, 1));
    replaceBackends(List.copyOf(sessions));
  }

  /** Replaces the list of registered backends. */
  void replaceBackends(List<BackendSession> backendSessions) {
    onLoop(() -> forwarder.backendsChanged(backendSessions));
  }

  /** Returns all backends that were listed so far. */
  List<BackendSession> sessions() {
    return List.copyOf(sessions);
  }

  void limits(IngressLimits limits) {
    onLoop(() -> ingress.apply(limits));
  }

  void onLoop(Runnable task) {
    loop.submit(task).syncUninterruptibly();
  }

  /** Returns the number of response bytes that wait until their clients read. */
  long bufferedForClients() {
    long[] bytes = new long[1];
    onLoop(() -> bytes[0] = ingress.pendingBytes());
    return bytes[0];
  }

  /**
   * Returns the number of requests that were read completely and wait for the responses before
   * them.
   */
  int pipelinedRequests() {
    int[] requests = new int[1];
    onLoop(() -> requests[0] = ingress.pipelinedRequests());
    return requests[0];
  }

  Socket dial() throws IOException {
    Socket socket = new Socket(ingress.address().getAddress(), ingress.address().getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    clients.add(socket);
    return socket;
  }

  static String request(String id, String headers, String body) {
    return "POST /a/b?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: 8000\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /**
   * Sends a request without special headers on a new connection and reads the complete response.
   */
  ClientResponse call(String id) throws IOException {
    Socket socket = dial();
    ScriptedPeer.write(socket, request(id, "", "body"));
    return ClientResponse.read(socket.getInputStream());
  }

  /** Sends a backend's response with status 200, the request's id and a response stamp. */
  static void serve(ScriptedPeer.Message message, Socket socket, String headers, String body)
      throws IOException {
    ScriptedPeer.respond(socket, 200, stamped(message) + headers, body);
  }

  static String stamped(ScriptedPeer.Message message) {
    return idOf(message) + STAMP;
  }

  static String idOf(ScriptedPeer.Message message) {
    return "X-Attempt-Id: " + message.header("X-Attempt-Id") + "\r\n";
  }

  /** Sends the head of a backend's event stream. */
  static void beginStream(ScriptedPeer.Message message, Socket socket) throws IOException {
    ScriptedPeer.write(
        socket,
        "HTTP/1.1 200 OK\r\n"
            + stamped(message)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  static void chunk(Socket socket, String text) throws IOException {
    ScriptedPeer.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static void lastChunk(Socket socket) throws IOException {
    ScriptedPeer.write(socket, "0\r\n\r\n");
  }

  static String event(int id) {
    return "id: " + id + "\ndata: piece " + id + "\n\n";
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 1_000_000L * TIMEOUT_MILLIS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition was not met in time");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
    for (ScriptedPeer backend : backends) {
      backend.close();
    }
    group
        .shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS)
        .syncUninterruptibly();
  }

  /**
   * A response as read by a client.
   *
   * @param complete whether the body arrived completely, according to the head
   */
  record ClientResponse(int status, Map<String, String> headers, String body, boolean complete) {
    String header(String name) {
      return headers.get(name);
    }

    /**
     * Reads one response; a chunked body without a last chunk is read up to the end of the
     * connection.
     */
    static ClientResponse read(InputStream in) throws IOException {
      String first = line(in);
      Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
      for (String line = line(in); !line.isEmpty(); line = line(in)) {
        int colon = line.indexOf(':');
        headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
      }
      int status = Integer.parseInt(first.split(" ", -1)[1]);
      if ("chunked".equals(headers.get("Transfer-Encoding"))) {
        StringBuilder body = new StringBuilder();
        boolean complete = readChunks(in, body);
        return new ClientResponse(status, headers, body.toString(), complete);
      }
      int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
      byte[] body = in.readNBytes(length);
      return new ClientResponse(
          status, headers, new String(body, StandardCharsets.ISO_8859_1), body.length == length);
    }

    private static boolean readChunks(InputStream in, StringBuilder body) {
      try {
        while (true) {
          String chunk = readChunk(in);
          if (chunk.isEmpty()) {
            return true;
          }
          body.append(chunk);
        }
      } catch (IOException ended) {
        return false;
      }
    }

    /**
     * Reads one chunk. Returns an empty string for the last chunk, and throws an {@link
     * IOException} if the connection ends within the chunk.
     */
    static String readChunk(InputStream in) throws IOException {
      int length = Integer.parseInt(line(in), 16);
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length || !line(in).isEmpty()) {
        throw new IOException("incomplete chunk");
      }
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads the lines of a response head, without the empty line after them. */
    static List<String> readHead(InputStream in) throws IOException {
      List<String> lines = new ArrayList<>();
      for (String line = line(in); !line.isEmpty(); line = line(in)) {
        lines.add(line);
      }
      return lines;
    }

    private static String line(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int next = in.read(); next != '\n'; next = in.read()) {
        if (next < 0) {
          throw new IOException("the connection ended inside a line");
        }
        line.write(next);
      }
      return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
  }
}
