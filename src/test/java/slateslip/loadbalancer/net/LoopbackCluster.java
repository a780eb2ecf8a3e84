package slateslip.loadbalancer.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import slateslip.loadbalancer.DefaultLoadBalancer;
import slateslip.loadbalancer.LoadBalancer;

/** An agent on a loopback port with a scripted discovery service and scripted servers. */
final class LoopbackCluster implements Closeable {
  static final long TIMEOUT_MS = 20_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  final ObjectNode config;
  final List<ScriptedPeer> servers = new ArrayList<>();

  /** Other peers that are closed together with the cluster. */
  final List<ScriptedPeer> peers = new ArrayList<>();

  /**
   * The responses of discovery to the watches, one each. A watch waits while the queue is empty.
   */
  final BlockingQueue<ScriptedPeer.Script> watchResponses = new LinkedBlockingQueue<>();

  final ScriptedPeer discovery;
  Agent agent;
  private final List<Socket> clients = new ArrayList<>();
  private int requests;

  LoopbackCluster() throws IOException {
    config =
        (ObjectNode) JSON.readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
    discovery =
        new ScriptedPeer(
            (message, socket) -> {
              if (message.target().contains("since")) {
                watchResponses.take().handle(message, socket);
              } else {
                ScriptedPeer.respond(socket, 200, "", config.get("known").toString());
              }
            });
    config.put("discovery", discovery.address());
  }

  /**
   * Starts a server and adds it to the known list, which is also the first response of discovery.
   */
  ScriptedPeer server(ScriptedPeer.Script script) throws IOException {
    ScriptedPeer peer = new ScriptedPeer(script);
    servers.add(peer);
    ((ArrayNode) config.get("known").get("endpoints"))
        .add(endpoint(servers.size(), peer.address(), "Ready"));
    return peer;
  }

  /** Starts a server that is not listed. */
  ScriptedPeer peer(ScriptedPeer.Script script) throws IOException {
    ScriptedPeer peer = new ScriptedPeer(script);
    peers.add(peer);
    return peer;
  }

  static ObjectNode endpoint(int number, String address, String status) {
    return JSON.createObjectNode()
        .put("name", "s-" + number)
        .put("address", address)
        .put("zone", "a")
        .put("type", "small")
        .put("group", 0)
        .put("status", status)
        .put("weight", 1.0)
        .put("since_ms", 0);
  }

  /** Returns a script that responds with a change of the server list. */
  static ScriptedPeer.Script delta(int index, ObjectNode... entries) {
    ObjectNode list = JSON.createObjectNode().put("index", index).put("snapshot", false);
    list.putArray("endpoints").addAll(List.of(entries));
    return (message, socket) -> ScriptedPeer.respond(socket, 200, "", list.toString());
  }

  LoopbackCluster settings(String group, Consumer<ObjectNode> change) {
    change.accept((ObjectNode) config.get("settings").get(group));
    return this;
  }

  LoopbackCluster start() throws IOException {
    agent = Agent.start(AgentConfig.of(config));
    awaitReady();
    return this;
  }

  LoopbackCluster start(Function<Agent, LoadBalancer> module) throws IOException {
    agent = Agent.start(AgentConfig.of(config), module);
    awaitReady();
    return this;
  }

  /**
   * Creates the usual load balancer behind an interceptor that receives each event first and may
   * throw an exception.
   */
  Function<Agent, LoadBalancer> intercepted(BiConsumer<String, Object[]> before) {
    return agent -> {
      LoadBalancer balancer =
          new DefaultLoadBalancer(AgentConfig.of(config).settings(), 1, 0, agent);
      return (LoadBalancer)
          Proxy.newProxyInstance(
              LoadBalancer.class.getClassLoader(),
              new Class<?>[] {LoadBalancer.class},
              (proxy, method, arguments) -> {
                before.accept(method.getName(), arguments);
                return method.invoke(balancer, arguments);
              });
    };
  }

  void awaitReady() {
    await(
        () -> {
          try (Socket socket = dial()) {
            ScriptedPeer.write(socket, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
            return ScriptedPeer.read(socket.getInputStream()).status() == 200;
          } catch (IOException e) {
            return false;
          }
        });
  }

  /** Opens a client connection. */
  Socket dial() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), agent.address().getPort());
    socket.setSoTimeout((int) TIMEOUT_MS);
    clients.add(socket);
    return socket;
  }

  /**
   * Returns a request as a client sends it. The class "lookup" is safe, "pay" is keyed and "order"
   * is unsafe.
   */
  String request(String type, long timeoutMs, String body) {
    String method = type.equals("lookup") ? "GET" : "POST";
    return method
        + " /"
        + type
        + "?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: id"
        + ++requests
        + "\r\nRequest-Class: "
        + type
        + "\r\nRequest-Timeout-Ms: "
        + timeoutMs
        + "\r\n"
        + (type.equals("pay") ? "Idempotency-Key: k" + requests + "\r\n" : "")
        + (method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "")
        + "\r\n"
        + body;
  }

  /** Sends a request on a new connection and returns its response. */
  ScriptedPeer.Message call(String type) throws IOException {
    return exchange(dial(), request(type, 8000, "body"));
  }

  static ScriptedPeer.Message exchange(Socket socket, String request) throws IOException {
    ScriptedPeer.write(socket, request);
    return ScriptedPeer.read(socket.getInputStream());
  }

  /** Returns the number of requests that have reached the servers. */
  int arrivedRequests() {
    return servers.stream().mapToInt(each -> each.requests.size()).sum();
  }

  /**
   * Fills the backlog of a listener that has a backlog of one and whose connections nobody accepts,
   * so that the next connection attempt waits.
   */
  static List<Socket> fillBacklog(ServerSocket full) {
    List<Socket> filling = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Socket socket = new Socket();
      filling.add(socket);
      ScriptedPeer.daemon(() -> socket.connect(full.getLocalSocketAddress()));
    }
    await(
        () ->
            filling.stream().filter(Socket::isConnected).count()
                >= 2); // The kernel accepts one connection more than the backlog.
    return filling;
  }

  /** Accepts the connections to such a listener, and counts those on which a byte arrives. */
  static AtomicInteger acceptAndCount(ServerSocket full) {
    AtomicInteger written = new AtomicInteger();
    ScriptedPeer.daemon(
        () -> {
          while (true) {
            Socket accepted = full.accept();
            ScriptedPeer.daemon(
                () -> written.addAndGet(accepted.getInputStream().readNBytes(1).length));
          }
        });
    return written;
  }

  /** Returns whether a thread is executing a method of the given name. */
  static boolean isInMethod(Thread thread, String method) {
    return Arrays.stream(thread.getStackTrace())
        .anyMatch(each -> each.getMethodName().equals(method));
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not become true in time");
      }
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** Closes the client connections. */
  void closeClients() throws IOException {
    for (Socket socket : clients) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    closeClients();
    if (agent != null) {
      // The shutdown takes a while, for which the next test need not wait.
      ScriptedPeer.daemon(agent::stop);
    }
    discovery.close();
    for (ScriptedPeer server : servers) {
      server.close();
    }
    for (ScriptedPeer peer : peers) {
      peer.close();
    }
  }
}
