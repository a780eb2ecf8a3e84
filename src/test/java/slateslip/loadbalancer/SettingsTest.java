package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Prices;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.LoadBalancer.Settings;
import slateslip.loadbalancer.LoadBalancer.Tenant;

/** Tests that the load balancer keeps its rules with settings at the limits of their ranges. */
class SettingsTest {
  private static final long SECOND = FakeHost.SECOND;
  private static final Permits ALL = new Permits(4, false, true, true, false, SECOND);

  private static Settings withPricesAndTenants(Settings s, Prices prices, List<Tenant> tenants) {
    return new Settings(
        s.agent(),
        s.agents(),
        s.zone(),
        s.zones(),
        s.tick(),
        s.pollDiscovery(),
        s.keyAffinity(),
        s.listedWeights(),
        s.valueByWork(),
        s.overQuotaValue(),
        s.permits(),
        s.obligations(),
        prices,
        s.goal(),
        s.classes(),
        tenants,
        s.loadFields());
  }

  private static FakeHost host(RequestClass type, Permits permits, int zones) {
    return new FakeHost(FakeHost.settings(List.of(type), permits, zones, 2));
  }

  @Test
  void requestsQueueWhileListIsEmpty() {
    FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList();
    long id = host.request();
    host.advance(SECOND / 10);
    assertEquals(0, host.sends(id).size());
    host.fullList(FakeHost.server(1, 0));
    assertEquals(1, host.sends(id).size());
  }

  @Test
  void requestWithoutAnyServerIsRefusedOnceByItsDeadline() {
    FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList();
    long id = host.request();
    host.advance(2 * SECOND);
    assertEquals(1, host.actions("refuse", id).size());
    assertEquals(0, host.actions("fail", id).size());
  }

  @Test
  void singleServerIsUsedAlthoughItsProbesFail() {
    FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList(FakeHost.server(1, 0));
    for (int i = 0; i < 3; i++) {
      host.balancer.probed(host.now, 1, Outcome.CONNECT_FAILED, 1000, new double[0]);
    }
    assertTrue(host.logged("active Unhealthy"));
    assertEquals(1, host.sends(host.request()).size());
  }

  @Test
  void zeroPricesCrossZonesAsSoonAsTheLocalZoneIsFull() {
    FakeHost host =
        new FakeHost(
                withPricesAndTenants(FakeHost.safeSettings(), new Prices(0, 0, 0, 0, 0), List.of()))
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 1));
    List<Long> targets = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      targets.add(host.target(host.request()));
    }
    assertEquals(1, targets.get(0));
    assertEquals(2, targets.get(9));
  }

  @Test
  void crossZonePriceAboveOneStaysLocal() {
    FakeHost host =
        new FakeHost(
                withPricesAndTenants(FakeHost.safeSettings(), new Prices(3, 0, 0, 0, 0), List.of()))
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 1));
    for (int i = 0; i < 20; i++) {
      host.request();
    }
    host.advance(2 * SECOND);
    assertTrue(host.actions("send").stream().allMatch(a -> a.server() == 1));
  }

  @Test
  void localZoneIsUsedFirstThenAnyOther() {
    FakeHost host = host(FakeHost.requestClass(Semantics.SAFE, Scope.ALL), ALL, 5);
    List<Server> servers = new ArrayList<>();
    for (int zone = 0; zone < 5; zone++) {
      servers.add(FakeHost.server(10 + zone, zone));
    }
    host.fullList(servers.toArray(Server[]::new));
    assertEquals(10, host.target(host.request()));
    host.fullList(servers.subList(1, 5).toArray(Server[]::new));
    assertTrue(host.target(host.request()) > 10);
  }

  @Test
  void withoutCancelExpiredRequestGetsOneResponse() {
    FakeHost host =
        host(
            FakeHost.requestClass(Semantics.SAFE, Scope.ALL),
            new Permits(1, false, false, false, false, 0),
            1);
    host.fullList(FakeHost.server(1, 0));
    long id = host.request();
    host.advance(5 * SECOND);
    assertEquals(1, host.actions("refuse", id).size() + host.actions("fail", id).size());
    assertEquals(0, host.actions("cancel").size());
    assertEquals(0, host.actions("probe").size());
    host.complete(id, 0, Outcome.OK, 5 * SECOND);
    assertEquals(1, host.sends(id).size());
  }

  @Test
  void singlePermittedAttemptIsNotRetried() {
    FakeHost host =
        host(
            FakeHost.requestClass(Semantics.SAFE, Scope.ALL),
            new Permits(1, false, true, true, false, 0),
            1);
    host.fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request();
    host.complete(id, 0, Outcome.CONNECT_FAILED, 1000);
    assertEquals(1, host.sends(id).size());
    assertEquals(1, host.actions("refuse", id).size());
  }

  @Test
  void startedStreamGetsNoSecondResponse() {
    RequestClass streamed =
        new RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
    FakeHost host = host(streamed, ALL, 1);
    host.fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request();
    assertEquals(0, host.sends(id).get(0).value(), "a streaming request has no timeout");
    host.balancer.streamStarted(host.now, id, 0, host.target(id), 1000);
    host.advance(8 * SECOND);
    assertEquals(
        0,
        host.actions("refuse", id).size()
            + host.actions("fail", id).size()
            + host.actions("cancel", id).size());
    host.complete(id, 0, Outcome.OK, 8 * SECOND);
    assertEquals(1, host.sends(id).size());
  }

  @Test
  void streamThatNeverStartsIsEndedByItsDeadline() {
    RequestClass streamed =
        new RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
    FakeHost host = host(streamed, ALL, 1);
    host.fullList(FakeHost.server(1, 0));
    long id = host.request();
    host.advance(4 * SECOND);
    assertEquals(1, host.actions("refuse", id).size() + host.actions("fail", id).size());
    assertEquals(1, host.actions("cancel", id).size());
  }

  @Test
  void cellScopedRequestThatMayHaveRunIsRetriedOnlyInItsCell() {
    FakeHost host = host(FakeHost.requestClass(Semantics.KEYED, Scope.CELL), ALL, 1);
    host.fullList(
        new Server(1, 0, 5, 0, LoadBalancer.Phase.READY, 1, 0),
        new Server(2, 0, 6, 0, LoadBalancer.Phase.READY, 1, 0),
        new Server(3, 0, 6, 0, LoadBalancer.Phase.READY, 1, 0));
    int retried = 0;
    for (int i = 0; i < 12; i++) {
      long id = host.request(0, 9);
      long first = host.target(id);
      host.advance(FakeHost.TICK);
      host.complete(id, 0, Outcome.RESET, FakeHost.TICK);
      host.advance(SECOND);
      for (FakeHost.RecordedAction send : host.sends(id)) {
        assertEquals(first == 1, send.server() == 1);
      }
      if (host.sends(id).size() > 1) {
        retried++;
        host.complete(id, 1, Outcome.OK, SECOND);
      }
      host.advance(4 * SECOND);
    }
    assertTrue(retried > 0, "no request was retried");
  }

  @Test
  void requestIsSentWithManyTenantsAndWithoutTenants() {
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      tenants.add(new Tenant(1, 0.02));
    }
    for (List<Tenant> tenantList : List.of(tenants, List.<Tenant>of())) {
      FakeHost host =
          new FakeHost(
                  withPricesAndTenants(
                      FakeHost.safeSettings(), FakeHost.safeSettings().prices(), tenantList))
              .fullList(FakeHost.server(1, 0));
      host.balancer.request(
          host.now,
          new Request(
              900, 0, Math.max(0, tenantList.size() - 1), 0, 0, host.now + SECOND, false, false));
      assertEquals(1, host.sends(900).size());
    }
  }
}
