package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.Goal;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Obligations;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Prices;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.LoadBalancer.Settings;
import slateslip.loadbalancer.LoadBalancer.Tenant;

/**
 * A fake host of one load balancer: tests move its clock, and the host records the actions and
 * delivers due timers.
 */
class FakeHost implements LoadBalancer.Actions {
  static final long SECOND = 1_000_000;
  static final long TICK = 5_000;

  /**
   * An action that the load balancer called. The value is the last argument or, for probes and
   * discovery, the time; unused fields are 0.
   */
  record RecordedAction(String name, long id, long server, long value) {}

  private record Timer(long token, long at) {}

  final List<RecordedAction> actions = new ArrayList<>();
  final List<String> logLines = new ArrayList<>();
  private final List<Timer> timers = new ArrayList<>();
  final LoadBalancer balancer;
  long now = 100 * SECOND;
  private long nextId = 1;

  FakeHost(Settings settings) {
    this(settings, 7);
  }

  FakeHost(Settings settings, long seed) {
    balancer = new DefaultLoadBalancer(settings, seed, now, this);
  }

  // ---- settings ----

  static RequestClass requestClass(Semantics semantics, Scope scope) {
    return new RequestClass(SECOND, 0, 4 * SECOND, semantics, scope, 2 * SECOND, 1, 0, false);
  }

  static Settings settings(Semantics semantics, Scope scope) {
    return settings(
        List.of(requestClass(semantics, scope)),
        new Permits(4, false, true, true, false, SECOND),
        2,
        2);
  }

  static Settings safeSettings() {
    return settings(Semantics.SAFE, Scope.ALL);
  }

  static Settings settings(List<RequestClass> classes, Permits permits, int zones, int agents) {
    return settings(classes, permits, zones, agents, false, false, List.of());
  }

  static Settings settings(
      List<RequestClass> classes,
      Permits permits,
      int zones,
      int agents,
      boolean pollDiscovery,
      boolean keyAffinity,
      List<Tenant> tenants) {
    return new Settings(
        0,
        agents,
        0,
        zones,
        TICK,
        pollDiscovery,
        keyAffinity,
        false,
        false,
        0.1,
        permits,
        new Obligations(20_000, 500_000, 0.2, 20 * SECOND, 3, SECOND, 10 * SECOND),
        new Prices(0.2, 0.01, 0.05, 0.05, 0.01),
        new Goal(0.6, 0.2, 0.2, 0),
        classes,
        tenants,
        List.of());
  }

  static Server server(long id, int zone) {
    return new Server(id, zone, zone, 0, Phase.READY, 1, 0);
  }

  static Server server(long id, int zone, Phase phase, long startedAt) {
    return new Server(id, zone, zone, 0, phase, 1, startedAt);
  }

  // ---- events ----

  FakeHost list(ListKind kind, Server... servers) {
    balancer.servers(now, kind, Arrays.asList(servers));
    return this;
  }

  FakeHost fullList(Server... servers) {
    return list(ListKind.FULL, servers);
  }

  long request() {
    return request(0, 0);
  }

  long request(int requestClass, long key) {
    long id = nextId++;
    balancer.request(now, new Request(id, requestClass, 0, key, 0, now + 3 * SECOND, false, false));
    return id;
  }

  void complete(long id, int attempt, Outcome outcome, long elapsed) {
    balancer.outcome(
        now,
        id,
        attempt,
        sends(id).get(attempt).server(),
        outcome,
        elapsed,
        outcome == Outcome.OK,
        new double[0]);
  }

  /**
   * Advances the clock in ticks for a time in microseconds and delivers the timers that become due.
   */
  void advance(long micros) {
    long end = now + micros;
    while (now < end) {
      now = Math.min(end, now + TICK);
      deliverDueTimers();
    }
  }

  private void deliverDueTimers() {
    List<Timer> due = timers.stream().filter(t -> t.at() <= now).toList();
    timers.removeAll(due);
    for (Timer timer : due) {
      balancer.timer(now, timer.token());
    }
  }

  /**
   * Sends a request and, if the load balancer sends an attempt, reports success after a time in
   * microseconds.
   */
  long serve(long elapsed) {
    long id = request();
    advance(elapsed);
    if (!sends(id).isEmpty()) {
      complete(id, sends(id).size() - 1, Outcome.OK, elapsed);
    }
    return id;
  }

  // ---- recorded actions ----

  List<RecordedAction> actions(String name) {
    return actions.stream().filter(a -> a.name().equals(name)).toList();
  }

  List<RecordedAction> actions(String name, long id) {
    return actions.stream().filter(a -> a.name().equals(name) && a.id() == id).toList();
  }

  List<RecordedAction> sends(long id) {
    return actions("send", id);
  }

  long target(long id) {
    List<RecordedAction> sends = sends(id);
    return sends.isEmpty() ? -1 : sends.get(sends.size() - 1).server();
  }

  boolean logged(String text) {
    return logLines.stream().anyMatch(l -> l.contains(text));
  }

  @Override
  public void send(long request, long server, long timeout) {
    actions.add(new RecordedAction("send", request, server, timeout));
  }

  @Override
  public void refuse(long request, long retryAfter) {
    actions.add(new RecordedAction("refuse", request, 0, retryAfter));
  }

  @Override
  public void fail(long request) {
    actions.add(new RecordedAction("fail", request, 0, 0));
  }

  @Override
  public void cancel(long request, int attempt) {
    actions.add(new RecordedAction("cancel", request, 0, attempt));
  }

  @Override
  public void probe(long server) {
    actions.add(new RecordedAction("probe", 0, server, now));
  }

  @Override
  public void sendToPeers(int agent, byte[] message) {
    actions.add(new RecordedAction("sendToPeers", agent, 0, message.length));
  }

  @Override
  public void timer(long token, long delay) {
    timers.add(new Timer(token, now + Math.max(1, delay)));
  }

  @Override
  public void closeIdle(long server) {
    actions.add(new RecordedAction("closeIdle", 0, server, 0));
  }

  @Override
  public void watchServers() {
    actions.add(new RecordedAction("watch", 0, 0, now));
  }

  @Override
  public void fetchServers() {
    actions.add(new RecordedAction("fetch", 0, 0, now));
  }

  @Override
  public void log(String line) {
    logLines.add(line);
  }
}
