package slateslip.loadbalancer.net;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The client connections of an agent by phase, each phase in the order of entry, with the limits
 * that they share: sockets, buffered bodies and pipelined requests. Confined to the event loop.
 */
final class ClientConnections {
  /**
   * Requests that a connection may pipeline in any case. Guards against working for a client that
   * asked much at once and went, for its close lies behind what it asked; and against heads by the
   * thousand that take the memory.
   */
  private static final int MIN_PIPELINED = 4;

  /** Requests that all connections together may pipeline before each is held to the minimum. */
  private static final int MAX_PIPELINED_TOTAL = 512;

  /** Requests that a connection may pipeline while all together are below the total. */
  private static final int MAX_PIPELINED = 64;

  /**
   * How long a connection may take until its first request is complete, or over sending a later
   * one.
   */
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long a connection may be idle after a response; under pressure the minimum below. */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long MIN_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long a new connection may say nothing at the least: its first request is on the way. */
  static final long MIN_FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * How long one that ends may take until its last response is written, and then over reading it.
   */
  private static final long RESPONSE_WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  static final int MAX_LINGERING = 16;

  /**
   * From this fraction of the limit on, idle connections are closed sooner, and each response is
   * its connection's last.
   */
  private static final double PRESSURE_FRACTION = 0.6;

  /** Bodies of requests may take one part in so many of the heap. */
  private static final int BODY_HEAP_DIVISOR = 6;

  private final LongSupplier nanoClock;
  private final Consumer<Boolean> accepting;
  private int maxConnections;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Phase: no byte has come yet. Each phase has the longest there first. */
  final Set<ClientConnection> awaitingFirstRequest = new LinkedHashSet<>();

  /** Phase: a part of a request has come. */
  final Set<ClientConnection> readingRequest = new LinkedHashSet<>();

  /** Phase: idle after a response. */
  final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Phase: its last response is being written. */
  final Set<ClientConnection> writingLastResponse = new LinkedHashSet<>();

  /** Phase: its last response is being read by the client. */
  final Set<ClientConnection> lingering = new LinkedHashSet<>();

  private long bufferedBodyBytes;

  /** Requests read ahead on all connections. */
  private int pipelinedRequests;

  /**
   * No connections yet.
   *
   * @param nanoClock steady time in nanoseconds
   * @param accepting called with whether new connections may be accepted
   */
  ClientConnections(int maxConnections, LongSupplier nanoClock, Consumer<Boolean> accepting) {
    this.maxConnections = maxConnections;
    this.nanoClock = nanoClock;
    this.accepting = accepting;
  }

  long nanoTime() {
    return nanoClock.getAsLong();
  }

  void opened(ClientConnection connection) {
    connections.add(connection);
  }

  void closed(ClientConnection connection) {
    connections.remove(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  int size() {
    return connections.size();
  }

  /** Another limit on sockets holds from now on. */
  void limitTo(int max) {
    maxConnections = max;
    enforceLimit();
  }

  /** Guards against running out of memory. */
  boolean hasRoomForBody(int bytes) {
    return bufferedBodyBytes + bytes <= Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR;
  }

  void reserveBodyBytes(int bytes) {
    bufferedBodyBytes += bytes;
  }

  void releaseBodyBytes(int bytes) {
    bufferedBodyBytes -= bytes;
  }

  /** So many more requests are read ahead; negative for fewer. */
  void pipelined(int change) {
    pipelinedRequests += change;
  }

  /** How many requests one connection may have sent in advance. */
  int maxPipelined() {
    return pipelinedRequests < MAX_PIPELINED_TOTAL ? MAX_PIPELINED : MIN_PIPELINED;
  }

  /** Closes connections in no use; a new one once its first request must have come. */
  void closeUnused() {
    olderThan(awaitingFirstRequest, MIN_FIRST_REQUEST_NANOS).forEach(ClientConnection::close);
    List.copyOf(idle).forEach(ClientConnection::close);
  }

  /** Closes connections of which no complete request has come. */
  void closeIncomplete() {
    List.copyOf(awaitingFirstRequest).forEach(ClientConnection::close);
    List.copyOf(readingRequest).forEach(ClientConnection::close);
  }

  /**
   * Keeps the connections under the limit on sockets. Guards against running out of descriptors,
   * which would end the agent, and against idle or forgotten connections shutting the others out:
   * they make room, the longest idle first. While none can go none is accepted: one in use must not
   * be closed unannounced, for its next request may be on the way.
   */
  void enforceLimit() {
    long now = nanoClock.getAsLong();
    while (connections.size() - lingering.size() - writingLastResponse.size() >= maxConnections) {
      ClientConnection first = oldestSince(awaitingFirstRequest, now - MIN_FIRST_REQUEST_NANOS);
      first = first == null ? oldestSince(idle, now - MIN_IDLE_TIMEOUT_NANOS) : first;
      if (first == null) {
        break;
      }
      first.close();
    }
    accepting.accept(connections.size() < maxConnections);
  }

  /** The first of them if it has been there since then. */
  private static ClientConnection oldestSince(Set<ClientConnection> some, long phaseSinceNanos) {
    ClientConnection first = some.isEmpty() ? null : some.iterator().next();
    return first != null && first.phaseSinceNanos() - phaseSinceNanos <= 0 ? first : null;
  }

  /** Ends what takes too long. Guards against descriptors and memory held for nobody. */
  void sweep() {
    olderThan(awaitingFirstRequest, REQUEST_TIMEOUT_NANOS).forEach(ClientConnection::close);
    olderThan(idle, underPressure() ? MIN_IDLE_TIMEOUT_NANOS : IDLE_TIMEOUT_NANOS)
        .forEach(ClientConnection::close);
    for (ClientConnection each : olderThan(readingRequest, REQUEST_TIMEOUT_NANOS)) {
      each.reject(HttpResponseStatus.REQUEST_TIMEOUT);
      if (each.isIn(readingRequest)) {
        each.channel().close(); // it does not read either
      }
    }
    olderThan(writingLastResponse, RESPONSE_WRITE_TIMEOUT_NANOS)
        .forEach(each -> each.channel().close());
    olderThan(lingering, LINGER_NANOS).forEach(each -> each.channel().close());
    enforceLimit();
  }

  /**
   * Whether capacity gets scarce: clients that keep their connections without need then have to
   * dial again.
   */
  boolean underPressure() {
    return connections.size() >= PRESSURE_FRACTION * maxConnections;
  }

  private List<ClientConnection> olderThan(Set<ClientConnection> some, long nanos) {
    long phaseSinceNanos = nanoClock.getAsLong() - nanos;
    return some.stream().filter(each -> each.phaseSinceNanos() - phaseSinceNanos <= 0).toList();
  }
}
