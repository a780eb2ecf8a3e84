package slateslip.loadbalancer;

import java.util.List;

/**
 * The load balancer of one agent: the host reports events, and the load balancer responds with
 * actions. The host calls one method for each event, in the order of the events, from one thread at
 * a time; the load balancer calls {@link Actions} before the method returns. All times are in
 * microseconds of one clock that never runs backwards. Instances share no state.
 */
public interface LoadBalancer {

  /** How often the effect of a request may happen. */
  enum Semantics {
    /** The effect may happen any number of times. */
    SAFE,
    /** A group of servers drops repeats of the request within a time window. */
    KEYED,
    /** The effect may happen at most once. */
    UNSAFE
  }

  /**
   * The group of servers that drop the repeats of a keyed request that one of them has received.
   */
  enum Scope {
    /** All servers. */
    ALL,
    /** The servers in the zone of the server that received the request. */
    ZONE,
    /** The servers in the cell of the server that received the request. */
    CELL
  }

  /** State of a server in the server list. */
  enum Phase {
    /** The server accepts requests. */
    READY,
    /** The server accepts no new requests. */
    DRAINING,
    /** The server has been removed. */
    GONE
  }

  /** What the entries of a server list stand for. */
  enum ListKind {
    /** Only the entries that have changed. */
    DELTA,
    /** All servers. */
    FULL,
    /** All servers, from the host's cache; possibly out of date. */
    CACHED,
    /** No list, because discovery could not be reached. */
    FAILED
  }

  /** How an attempt or a probe ended. */
  enum Outcome {
    /** The server responded. */
    OK(false),
    /** The server responded with an error. */
    ERROR(false),
    /** The server rejected the attempt without processing. */
    FULL(true),
    /** No response arrived within the timeout. */
    TIMEOUT(false),
    /** No connection could be opened. */
    CONNECT_FAILED(true),
    /** The connection broke. */
    RESET(false),
    /** The load balancer cancelled the attempt. */
    CANCELLED(false),
    /** The host could not send the attempt. */
    NEVER_SENT(true);

    private final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /**
     * Returns whether this outcome proves that the attempt had no effect.
     *
     * @return false if the attempt may have run
     */
    public boolean neverRan() {
      return neverRan;
    }
  }

  /** The fields that the load report of a server may contain. */
  enum LoadField {
    /** Number of requests at the server. */
    IN_FLIGHT,
    /** Number of requests that wait at the server. */
    QUEUED,
    /** Fraction of the machine's capacity in use. */
    CPU_SHARE,
    /** Mean response time in milliseconds. */
    MEAN_MILLIS,
    /** Responses per second. */
    SERVED_PER_SECOND,
    /** Error responses per second. */
    ERRORS_PER_SECOND
  }

  /**
   * A class of requests; times are in microseconds.
   *
   * @param latencyTarget a response within this time of the request's arrival has its full value
   * @param latencyTargetPerCost the latency target grows by this multiple of the request's cost
   * @param timeout the total time that a client waits over all attempts
   * @param semantics how often the effect of a request may happen
   * @param scope the servers that drop the repeats of a keyed request
   * @param window how long the scope's servers drop repeats of a keyed request, from its first send
   * @param value the value of a response within the latency target
   * @param lateValueFraction the fraction of the value that a late response has
   * @param streaming whether a response arrives in parts
   */
  record RequestClass(
      long latencyTarget,
      double latencyTargetPerCost,
      long timeout,
      Semantics semantics,
      Scope scope,
      long window,
      double value,
      double lateValueFraction,
      boolean streaming) {}

  /**
   * A tenant: its quota in requests per second over all agents, above which requests have less
   * value, and its fraction of the service.
   */
  record Tenant(double quotaPerSecond, double fraction) {}

  /**
   * What the host permits. A {@code maxRetryAfter} of 0 sets no limit: whether clients follow the
   * advice is then unknown. Otherwise the limit is in microseconds.
   */
  record Permits(
      int maxAttempts,
      boolean duplicates,
      boolean cancel,
      boolean probes,
      boolean messages,
      long maxRetryAfter) {}

  /** Rules for draining servers, servers in warm-up and discovery; times are in microseconds. */
  record Obligations(
      long responseSlack,
      long drainGrace,
      double warmupStartFraction,
      long warmupTime,
      double overloadMultiple,
      long overloadTime,
      long discoveryWithin) {}

  /**
   * Costs as fractions of the result: requests that cross zones, probes, wasted work, late failures
   * and messages between agents.
   */
  record Prices(double crossZone, double probe, double waste, double lateFailure, double message) {}

  /**
   * Weights of the parts of the result: the overall value and the values of the worst time window,
   * the worst class and the worst tenant.
   */
  record Goal(double overall, double worstWindow, double worstClass, double worstTenant) {}

  /**
   * Settings of an instance, given at its start and again with {@link LoadBalancer#settings};
   * {@code tick} is in microseconds.
   */
  record Settings(
      int agent,
      int agents,
      int zone,
      int zones,
      long tick,
      boolean pollDiscovery,
      boolean keyAffinity,
      boolean listedWeights,
      boolean valueByWork,
      double overQuotaValue,
      Permits permits,
      Obligations obligations,
      Prices prices,
      Goal goal,
      List<RequestClass> classes,
      List<Tenant> tenants,
      List<LoadField> loadFields) {}

  /**
   * An entry of the server list; {@code startedAt} is in microseconds, or 0 if the start is long
   * past; {@code weight} is relative to other servers.
   */
  record Server(
      long id, int zone, int cell, int kind, Phase phase, double weight, long startedAt) {}

  /**
   * A client's request. Key and cost are 0 if unknown; {@code deadline} is the time, in
   * microseconds, at which the client abandons this attempt.
   */
  record Request(
      long id,
      int requestClass,
      int tenant,
      long key,
      long cost,
      long deadline,
      boolean repeated,
      boolean write) {}

  /** The actions that the load balancer requests from its host. */
  interface Actions {
    /**
     * Starts the next attempt of a request.
     *
     * @param request the id of the request
     * @param server the id of the target server
     * @param timeout the time in microseconds after which the host ends the attempt with {@link
     *     Outcome#TIMEOUT}; 0 for no timeout
     */
    void send(long request, long server, long timeout);

    /**
     * Ends a request with a final response that says that a retry is harmless, because no attempt
     * had an effect or a repeat has none.
     *
     * @param request the id of the request
     * @param retryAfter the delay in microseconds advised to the client; 0 for no advice
     */
    void refuse(long request, long retryAfter);

    /**
     * Ends a request with a final error response that guarantees nothing about its effects.
     *
     * @param request the id of the request
     */
    void fail(long request);

    /**
     * Cancels one attempt of a request.
     *
     * @param request the id of the request
     * @param attempt the index of the attempt, from 0
     */
    void cancel(long request, int attempt);

    /**
     * Probes the health of a server; the host reports the outcome with {@link LoadBalancer#probed}.
     *
     * @param server the id of the server
     */
    void probe(long server);

    /**
     * Sends a message to other agents.
     *
     * @param agent the index of the agent, or -1 for all
     * @param message the bytes of the message
     */
    void sendToPeers(int agent, byte[] message);

    /**
     * Schedules one call of {@link LoadBalancer#timer}.
     *
     * @param token passed back to the call
     * @param delay the time until the call, in microseconds
     */
    void timer(long token, long delay);

    /**
     * Closes the idle connections to a server.
     *
     * @param server the id of the server
     */
    void closeIdle(long server);

    /** Subscribes to changes of the server list. */
    void watchServers();

    /** Requests the complete server list once. */
    void fetchServers();

    /**
     * Writes a log line for the operators.
     *
     * @param line a line of plain text
     */
    void log(String line);
  }

  /**
   * Applies new settings from now on. The data learned about servers and classes stays with them,
   * and so do deadlines, timers, retry tokens and the credit of servers in warm-up. A pending
   * request continues under the class of its arrival, but is retried only where the old and the new
   * settings both permit a retry.
   *
   * @param now the time, in microseconds
   * @param next settings of the same agent in the same zone
   */
  void settings(long now, SettingsReload next);

  /**
   * Reports a new server list, or that no list could be read.
   *
   * @param now the time, in microseconds
   * @param kind what the entries stand for
   * @param entries the entries; empty if no list could be read
   */
  void servers(long now, ListKind kind, List<Server> entries);

  /**
   * Reports a client's request, to which the load balancer must give exactly one final response.
   *
   * @param now the time, in microseconds
   * @param request the request, with an id that no pending request has
   */
  void request(long now, Request request);

  /**
   * Reports that the response to a streaming request has begun; deadlines no longer apply.
   *
   * @param now the time, in microseconds
   * @param request the id of the request
   * @param attempt the index of the attempt, from 0
   * @param server the id of the server
   * @param elapsed the time since the send, in microseconds
   */
  void streamStarted(long now, long request, int attempt, long server, long elapsed);

  /**
   * Reports the end of an attempt.
   *
   * @param now the time, in microseconds
   * @param request the id of the request
   * @param attempt the index of the attempt, from 0
   * @param server the id of the server
   * @param outcome how the attempt ended
   * @param elapsed the time since the send, in microseconds
   * @param closed whether the client has its final response, by this outcome or earlier
   * @param load the server's load report in the order of the fields in the settings; empty without
   *     a report
   */
  void outcome(
      long now,
      long request,
      int attempt,
      long server,
      Outcome outcome,
      long elapsed,
      boolean closed,
      double[] load);

  /**
   * Reports that the client has disconnected; the request needs no response.
   *
   * @param now the time, in microseconds
   * @param request the id of the request
   */
  void clientLeft(long now, long request);

  /**
   * Reports the end of a probe.
   *
   * @param now the time, in microseconds
   * @param server the id of the server
   * @param outcome how the probe ended
   * @param elapsed the time since the probe was requested, in microseconds
   * @param load the server's load report in the order of the fields in the settings; empty without
   *     a report
   */
  void probed(long now, long server, Outcome outcome, long elapsed, double[] load);

  /**
   * Reports a message from another agent.
   *
   * @param now the time, in microseconds
   * @param agent the index of the sender
   * @param message the bytes of the message
   */
  void message(long now, int agent, byte[] message);

  /**
   * Reports that a timer is due.
   *
   * @param now the time, in microseconds
   * @param token the token given to {@link Actions#timer}
   */
  void timer(long now, long token);
}
