package slateslip.loadbalancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A load balancer that checks its host against the contract of the interface: wrong use throws an
 * exception that describes the error, and the wrapped load balancer does not get the event.
 * Intended for the development of a host; {@link DefaultLoadBalancer} itself ignores the wrong
 * events that it can detect.
 */
public final class ValidatingLoadBalancer implements LoadBalancer {
  /** The attempts of one request: how many were sent and which of them have ended. */
  private static final class Attempts {
    int sent;
    long ended;
    boolean responded;
  }

  /** Passes the actions on to the host and counts the attempts. */
  private final class CountingActions implements Actions {
    private final Actions host;

    CountingActions(Actions host) {
      this.host = host;
    }

    @Override
    public void send(long request, long server, long timeout) {
      requests.get(request).sent++;
      host.send(request, server, timeout);
    }

    @Override
    public void refuse(long request, long retryAfter) {
      responded(request);
      host.refuse(request, retryAfter);
    }

    @Override
    public void fail(long request) {
      responded(request);
      host.fail(request);
    }

    @Override
    public void cancel(long request, int attempt) {
      host.cancel(request, attempt);
    }

    @Override
    public void probe(long server) {
      host.probe(server);
    }

    @Override
    public void sendToPeers(int agent, byte[] message) {
      host.sendToPeers(agent, message);
    }

    @Override
    public void timer(long token, long delay) {
      host.timer(token, delay);
    }

    @Override
    public void closeIdle(long server) {
      host.closeIdle(server);
    }

    @Override
    public void watchServers() {
      host.watchServers();
    }

    @Override
    public void fetchServers() {
      host.fetchServers();
    }

    @Override
    public void log(String line) {
      host.log(line);
    }
  }

  private Settings settings;
  private final LoadBalancer balancer;
  private final Map<Long, Attempts> requests = new HashMap<>();
  private long lastEventAt;
  private boolean handlingEvent;

  /**
   * Creates a checked {@link DefaultLoadBalancer}.
   *
   * @param settings the initial settings
   * @param seed seed of the random choices
   * @param now the time, in microseconds
   * @param actions the host
   */
  public ValidatingLoadBalancer(Settings settings, long seed, long now, Actions actions) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.lastEventAt = now;
    Actions counting = new CountingActions(Objects.requireNonNull(actions, "actions"));
    this.balancer = new DefaultLoadBalancer(settings, seed, now, counting);
  }

  @Override
  public void settings(long now, SettingsReload next) {
    Objects.requireNonNull(next, "next");
    Settings after = next.settings();
    requireEqual("classes", settings.classes().size(), next.classes().size());
    requireEqual("zones", settings.zones(), next.zones().size());
    requireEqual("agent", settings.agent(), after.agent());
    requireEqual("own zone", next.zones().get(settings.zone()), after.zone());
    event(
        now,
        () -> {
          settings = after;
          balancer.settings(now, next);
        });
  }

  private static void requireEqual(String what, int expected, int found) {
    if (found != expected) {
      throw new IllegalArgumentException(what + ": " + found + " instead of " + expected);
    }
  }

  @Override
  public void servers(long now, ListKind kind, List<Server> entries) {
    Objects.requireNonNull(kind, "kind");
    for (Server entry : Objects.requireNonNull(entries, "entries")) {
      Objects.requireNonNull(entry, "an entry");
    }
    event(now, () -> balancer.servers(now, kind, entries));
  }

  @Override
  public void request(long now, Request request) {
    Objects.requireNonNull(request, "request");
    Objects.checkIndex(request.requestClass(), settings.classes().size());
    if (requests.containsKey(request.id())) {
      throw new IllegalArgumentException("request " + request.id() + " was reported before");
    }
    event(
        now,
        () -> {
          requests.put(request.id(), new Attempts());
          balancer.request(now, request);
        });
  }

  @Override
  public void streamStarted(long now, long request, int attempt, long server, long elapsed) {
    requireInFlight(request, attempt);
    event(now, () -> balancer.streamStarted(now, request, attempt, server, elapsed));
  }

  @Override
  public void outcome(
      long now,
      long request,
      int attempt,
      long server,
      Outcome outcome,
      long elapsed,
      boolean closed,
      double[] load) {
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(load, "load");
    Attempts attempts = requireInFlight(request, attempt);
    event(
        now,
        () -> {
          attempts.ended |= 1L << attempt;
          attempts.responded |= closed;
          balancer.outcome(now, request, attempt, server, outcome, elapsed, closed, load);
          removeIfComplete(request, attempts);
        });
  }

  @Override
  public void clientLeft(long now, long request) {
    event(
        now,
        () -> {
          if (requests.containsKey(request)) {
            balancer.clientLeft(now, request);
            responded(request);
          }
        });
  }

  @Override
  public void probed(long now, long server, Outcome outcome, long elapsed, double[] load) {
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(load, "load");
    event(now, () -> balancer.probed(now, server, outcome, elapsed, load));
  }

  @Override
  public void message(long now, int agent, byte[] message) {
    Objects.requireNonNull(message, "message");
    event(now, () -> balancer.message(now, agent, message));
  }

  @Override
  public void timer(long now, long token) {
    event(now, () -> balancer.timer(now, token));
  }

  private void event(long now, Runnable reported) {
    if (handlingEvent) {
      throw new IllegalStateException("an action must not call the load balancer");
    }
    if (now < lastEventAt) {
      throw new IllegalArgumentException("time runs backwards: " + now + " after " + lastEventAt);
    }
    lastEventAt = now;
    handlingEvent = true;
    try {
      reported.run();
    } finally {
      handlingEvent = false;
    }
  }

  private Attempts requireInFlight(long request, int attempt) {
    Attempts attempts = requests.get(request);
    if (attempts == null) {
      throw new IllegalArgumentException("request " + request + " is unknown or has ended");
    }
    Objects.checkIndex(attempt, attempts.sent);
    if ((attempts.ended & 1L << attempt) != 0) {
      throw new IllegalArgumentException(
          "attempt " + attempt + " of request " + request + " has ended");
    }
    return attempts;
  }

  private void responded(long request) {
    Attempts attempts = requests.get(request);
    attempts.responded = true;
    removeIfComplete(request, attempts);
  }

  private void removeIfComplete(long request, Attempts attempts) {
    if (attempts.responded && Long.bitCount(attempts.ended) == attempts.sent) {
      requests.remove(request);
    }
  }
}
