package slateslip.loadbalancer.net;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The client connections of an agent, grouped by phase in the order in which they entered the
 * phase, and the limits that the connections share: sockets, buffered request bodies and pipelined
 * requests. Confined to the event loop.
 */
final class ClientConnections {
  /**
   * The number of requests that a connection may pipeline in any case. Reading ahead lets the agent
   * detect that a client has closed the connection, since the close is behind the requests in the
   * input; without it the agent would work for clients that have left. The limits keep thousands of
   * request heads from filling the memory.
   */
  private static final int MIN_PIPELINED = 4;

  /**
   * The number of pipelined requests on all connections from which each connection is limited to
   * {@link #MIN_PIPELINED}.
   */
  private static final int MAX_PIPELINED_TOTAL = 512;

  /**
   * The number of requests that a connection may pipeline while the total is below {@link
   * #MAX_PIPELINED_TOTAL}.
   */
  private static final int MAX_PIPELINED = 64;

  /**
   * The time within which the first request on a connection must be complete, and the time that a
   * later request may take from its first byte to its last.
   */
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * How long a connection may be idle after a response. Under pressure {@link
   * #MIN_IDLE_TIMEOUT_NANOS} applies.
   */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long MIN_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * The minimum time that a new connection has to send its first request, which may already be on
   * its way.
   */
  static final long MIN_FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * How long the last response of a connection may take to be written. {@link #LINGER_NANOS} is how
   * long the client then has to read that response.
   */
  private static final long RESPONSE_WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  static final int MAX_LINGERING = 16;

  /**
   * The fraction of the connection limit from which the agent closes idle connections sooner and
   * closes each connection after its next response.
   */
  private static final double PRESSURE_FRACTION = 0.6;

  /** The heap size divided by this number is the limit on all buffered request bodies. */
  private static final int BODY_HEAP_DIVISOR = 6;

  private final LongSupplier nanoClock;
  private final Consumer<Boolean> accepting;
  private int maxConnections;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /**
   * Connections that have not received a byte yet. As in the other phases, the connection that has
   * been in the phase for longest comes first.
   */
  final Set<ClientConnection> awaitingFirstRequest = new LinkedHashSet<>();

  /** Connections that have received a part of a request. */
  final Set<ClientConnection> readingRequest = new LinkedHashSet<>();

  /** Connections that are idle after a response. */
  final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Connections whose last response is being written. */
  final Set<ClientConnection> writingLastResponse = new LinkedHashSet<>();

  /** Connections whose last response is written and whose client has yet to read it. */
  final Set<ClientConnection> lingering = new LinkedHashSet<>();

  private long bufferedBodyBytes;

  /** The number of requests that are queued on all connections. */
  private int pipelinedRequests;

  /**
   * Creates an empty set of connections.
   *
   * @param nanoClock a monotonic clock, in nanoseconds
   * @param accepting receives whether new connections may be accepted
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

  /** Sets another limit on the number of connections. */
  void setMaxConnections(int max) {
    maxConnections = max;
    enforceLimit();
  }

  /**
   * Returns whether a body may grow by the given number of bytes without exceeding the limit on
   * memory.
   */
  boolean hasRoomForBody(int bytes) {
    return bufferedBodyBytes + bytes <= Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR;
  }

  void reserveBodyBytes(int bytes) {
    bufferedBodyBytes += bytes;
  }

  void releaseBodyBytes(int bytes) {
    bufferedBodyBytes -= bytes;
  }

  /** Adds to the number of queued requests; a negative value subtracts. */
  void addPipelined(int change) {
    pipelinedRequests += change;
  }

  /** Returns how many requests one connection may currently have queued. */
  int maxPipelined() {
    return pipelinedRequests < MAX_PIPELINED_TOTAL ? MAX_PIPELINED : MIN_PIPELINED;
  }

  /**
   * Closes idle connections, and connections that have not sent a request within {@link
   * #MIN_FIRST_REQUEST_NANOS}.
   */
  void closeUnused() {
    olderThan(awaitingFirstRequest, MIN_FIRST_REQUEST_NANOS).forEach(ClientConnection::close);
    List.copyOf(idle).forEach(ClientConnection::close);
  }

  /** Closes connections on which a request is incomplete or has not begun. */
  void closeIncomplete() {
    List.copyOf(awaitingFirstRequest).forEach(ClientConnection::close);
    List.copyOf(readingRequest).forEach(ClientConnection::close);
  }

  /**
   * Keeps the number of connections below the limit. Running out of file descriptors would end the
   * agent, and idle or abandoned connections would exclude other clients; therefore the connections
   * that have been idle for longest are closed first. While none can be closed, no connection is
   * accepted: a connection that has been in use recently must not be closed without notice, because
   * its next request may be on its way.
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

  /**
   * Returns the first connection of a phase if the connection entered that phase no later than the
   * given time, else null.
   */
  private static ClientConnection oldestSince(Set<ClientConnection> some, long phaseSinceNanos) {
    ClientConnection first = some.isEmpty() ? null : some.iterator().next();
    return first != null && first.phaseSinceNanos() - phaseSinceNanos <= 0 ? first : null;
  }

  /**
   * Closes connections that exceed their timeouts, so that abandoned connections do not hold file
   * descriptors and memory.
   */
  void sweep() {
    olderThan(awaitingFirstRequest, REQUEST_TIMEOUT_NANOS).forEach(ClientConnection::close);
    olderThan(idle, underPressure() ? MIN_IDLE_TIMEOUT_NANOS : IDLE_TIMEOUT_NANOS)
        .forEach(ClientConnection::close);
    for (ClientConnection each : olderThan(readingRequest, REQUEST_TIMEOUT_NANOS)) {
      each.reject(HttpResponseStatus.REQUEST_TIMEOUT);
      if (each.isIn(readingRequest)) {
        // The client does not read, so the error response cannot be sent.
        each.channel().close();
      }
    }
    olderThan(writingLastResponse, RESPONSE_WRITE_TIMEOUT_NANOS)
        .forEach(each -> each.channel().close());
    olderThan(lingering, LINGER_NANOS).forEach(each -> each.channel().close());
    enforceLimit();
  }

  /**
   * Returns whether the number of connections is close to the limit. The agent then closes
   * connections after each response, so that clients that do not need a connection free it.
   */
  boolean underPressure() {
    return connections.size() >= PRESSURE_FRACTION * maxConnections;
  }

  private List<ClientConnection> olderThan(Set<ClientConnection> some, long nanos) {
    long phaseSinceNanos = nanoClock.getAsLong() - nanos;
    return some.stream().filter(each -> each.phaseSinceNanos() - phaseSinceNanos <= 0).toList();
  }
}
