package slateslip.loadbalancer.example;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.ValidatingLoadBalancer;

/**
 * The example that the README shows. The README repeats the code between the two marker comments,
 * and {@link EmbeddingTest} checks that both are equal.
 */
final class Embedding implements LoadBalancer.Actions {
  final List<String> did = new ArrayList<>();

  // README begins
  static LoadBalancer.Settings settings() {
    var lookup =
        new LoadBalancer.RequestClass(
            300_000,
            0,
            2_000_000, // wanted within 0.3 s, given up after 2 s
            LoadBalancer.Semantics.SAFE,
            LoadBalancer.Scope.ALL,
            0, // may run any number of times
            1,
            0,
            false); // worth 1; nothing if late; not streamed
    return new LoadBalancer.Settings(
        0,
        3,
        0,
        2,
        5_000, // agent 0 of 3, in zone 0 of 2; 5 ms ticks
        false,
        false,
        false,
        false,
        1,
        new LoadBalancer.Permits(3, false, true, true, false, 0),
        new LoadBalancer.Obligations(20_000, 500_000, 0.2, 20_000_000, 3, 1_000_000, 10_000_000),
        new LoadBalancer.Prices(0.05, 0.01, 0.05, 0.05, 0),
        new LoadBalancer.Goal(1, 0, 0, 0),
        List.of(lookup),
        List.of(),
        List.of());
  }

  static void run(LoadBalancer.Actions host) {
    long now = 0; // microseconds of the host's own clock
    LoadBalancer balancer = new ValidatingLoadBalancer(settings(), 42, now, host);
    balancer.servers(
        now,
        LoadBalancer.ListKind.FULL,
        List.of(
            new LoadBalancer.Server(7, 0, 0, 0, LoadBalancer.Phase.READY, 1, 0),
            new LoadBalancer.Server(8, 1, 0, 0, LoadBalancer.Phase.READY, 1, 0)));
    balancer.request(now, new LoadBalancer.Request(1, 0, 0, 0, 0, now + 1_000_000, false, false));
    now += 40_000; // the host has called send(1, 7, ...) over its network
    balancer.outcome(now, 1, 0, 7, LoadBalancer.Outcome.OK, 40_000, true, new double[0]);
  }

  @Override
  public void send(long request, long server, long timeout) {
    did.add("send " + request + " to " + server);
  }

  // README ends

  @Override
  public void refuse(long request, long retryAfter) {
    did.add("refuse " + request);
  }

  @Override
  public void fail(long request) {
    did.add("fail " + request);
  }

  @Override
  public void cancel(long request, int attempt) {
    did.add("cancel " + request);
  }

  @Override
  public void probe(long server) {
    did.add("probe " + server);
  }

  @Override
  public void sendToPeers(int agent, byte[] message) {
    did.add("sendToPeers " + agent);
  }

  @Override
  public void timer(long token, long delay) {
    did.add("timer");
  }

  @Override
  public void closeIdle(long server) {
    did.add("close " + server);
  }

  @Override
  public void watchServers() {
    did.add("watch");
  }

  @Override
  public void fetchServers() {
    did.add("fetch");
  }

  @Override
  public void log(String line) {
    did.add(line);
  }
}
