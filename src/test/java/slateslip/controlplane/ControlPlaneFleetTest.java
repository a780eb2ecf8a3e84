package slateslip.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;

/**
 * Tests three control agents on loopback addresses, with requests and data planes at each agent.
 */
class ControlPlaneFleetTest {
  private static final int AGENTS = 3;
  private static final int MAX_CALLS = 100_000;

  @TempDir Path folder;
  private ControlPlaneCluster cluster;

  @BeforeEach
  void start() throws IOException {
    cluster = new ControlPlaneCluster(folder, AGENTS);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void changeAtAnyAgentIsReadAtAllAgents() throws Exception {
    assertThat(putConfiguration(2, "0", OperatorDocuments.complete(3)), is(200));
    assertThat(putConfiguration(1, "3", OperatorDocuments.complete(5)), is(200));
    assertThat(putConfiguration(0, "3", OperatorDocuments.complete(6)), is(412));
    assertThat(putConfiguration(0, "0", OperatorDocuments.complete(3)), is(200));
    for (int agent = 0; agent < AGENTS; agent++) {
      HttpResponse<String> read = cluster.callUntilAvailable(agent, "GET", "/config", null, null);
      assertThat(read.body(), containsString("\"version\":5"));
    }
  }

  @Test
  void dataPlanesAtAllAgentsReceiveSessionUpdates() throws Exception {
    assertThat(putConfiguration(0, "0", OperatorDocuments.complete(3)), is(200));
    for (int agent = 0; agent < AGENTS; agent++) {
      try (FakeDataPlane dataPlane =
          new FakeDataPlane(cluster.internalSocket(agent), "edge-" + agent)) {
        dataPlane.await(message -> message instanceof ControlPlaneMessage.ConfigurationSnapshot);
        String id = "i-" + agent;
        int other = (agent + 1) % AGENTS;
        String body = OperatorDocuments.instance("ready", 1).replace("10.1.0.9", "10.1.0." + agent);
        assertThat(callInstance(other, "PUT", id, body), is(200));
        dataPlane.await(message -> isRegistered(message, id));
        assertThat(callInstance(other, "DELETE", id, null), is(200));
        dataPlane.await(message -> isRemoved(message, id));
      }
    }
  }

  /**
   * Ids and names that are not ASCII must reach data planes unchanged. Guards against a failure
   * related to incident UNASKED, in which header values with such letters were corrupted.
   */
  @Test
  void nonAsciiIdsAndNamesReachDataPlanesUnchanged() throws Exception {
    String idSuffix = "\u017e \u6771+\ud83d\udeb0";
    String name = "Z\u00f3na \u010c \u6771\ud83d\udeb0";
    String encodedSuffix = URLEncoder.encode(idSuffix, StandardCharsets.UTF_8).replace("+", "%20");
    assertThat(putConfiguration(0, "0", OperatorDocuments.complete(3)), is(200));
    try (FakeDataPlane dataPlane = new FakeDataPlane(cluster.internalSocket(1), "edge")) {
      for (int agent = 0; agent < AGENTS; agent++) {
        String id = "i-" + agent + idSuffix;
        String path = "i-" + agent + encodedSuffix;
        String body = OperatorDocuments.instance("ready", 1);
        assertThat(callInstance(agent, "PUT", path, body), is(200));
        dataPlane.await(message -> isRegistered(message, id));
        assertThat(callInstance(agent, "DELETE", path, null), is(200));
        dataPlane.await(message -> isRemoved(message, id));
      }
      assertThat(
          cluster
              .callUntilAvailable(2, "PATCH", "/config", "3", OperatorDocuments.patch(4, name))
              .statusCode(),
          is(200));
      ControlPlaneMessage message =
          dataPlane.await(each -> each instanceof ControlPlaneMessage.ConfigurationPatch);
      String patch =
          new String(
              ((ControlPlaneMessage.ConfigurationPatch) message).patch(), StandardCharsets.UTF_8);
      assertThat(patch, containsString(name));
    }
    for (int agent = 0; agent < AGENTS; agent++) {
      HttpResponse<String> read = cluster.callUntilAvailable(agent, "GET", "/config", null, null);
      assertThat(read.body(), containsString(name));
    }
  }

  @Test
  void acknowledgedPatchIsDeliveredToDataPlane() throws Exception {
    assertThat(putConfiguration(0, "0", OperatorDocuments.complete(3)), is(200));
    try (FakeDataPlane dataPlane = new FakeDataPlane(cluster.internalSocket(1), "edge")) {
      dataPlane.await(message -> message instanceof ControlPlaneMessage.ConfigurationSnapshot);
      HttpResponse<String> response =
          cluster.callUntilAvailable(
              2, "PATCH", "/config", "3", OperatorDocuments.patch(4, "added"));
      assertThat(response.statusCode(), is(200));
      ControlPlaneMessage message =
          dataPlane.await(each -> each instanceof ControlPlaneMessage.ConfigurationPatch);
      assertThat(((ControlPlaneMessage.ConfigurationPatch) message).toVersion(), is(4L));
    }
  }

  @Test
  void acknowledgedChangeSurvivesLossOfOneAgentAndRestartOfAll() throws Exception {
    assertThat(putConfiguration(0, "0", OperatorDocuments.complete(3)), is(200));
    cluster.stop(0);
    assertThat(putConfiguration(1, "3", OperatorDocuments.complete(5)), is(200));
    cluster.stop(1);
    cluster.stop(2);
    for (int agent = 0; agent < AGENTS; agent++) {
      cluster.restart(agent);
    }
    HttpResponse<String> read = cluster.callUntilAvailable(0, "GET", "/config", null, null);
    assertThat(read.body(), containsString("\"version\":5"));
    assertThat(putConfiguration(2, "3", OperatorDocuments.complete(5)), is(200));
  }

  @Test
  void reportingDataPlaneReceivesQuotaLease() throws Exception {
    assertThat(putConfiguration(0, "0", OperatorDocuments.complete(3)), is(200));
    for (int agent = 0; agent < AGENTS; agent++) {
      try (FakeDataPlane dataPlane =
          new FakeDataPlane(cluster.internalSocket(agent), "edge-" + agent)) {
        long epoch = 0;
        QuotaAllocation.Lease lease = null;
        for (long sent = 1; lease == null || lease.isClaim(); sent++) {
          QuotaReport report = new QuotaReport(epoch, 0, sent, 0, 0, false, List.of());
          dataPlane.send(new DataPlaneMessage.Demand(report));
          ControlPlaneMessage next =
              dataPlane.await(
                  message ->
                      message instanceof ControlPlaneMessage.QuotaUpdate
                          || message instanceof ControlPlaneMessage.Heartbeat);
          if (next instanceof ControlPlaneMessage.QuotaUpdate update) {
            lease = update.allocation().lease();
            epoch = lease.epoch();
          }
        }
      }
    }
  }

  @Test
  void agentWithoutMajorityRejectsRequests() throws Exception {
    assertThat(callInstance(2, "PUT", "i-1", OperatorDocuments.instance("ready", 1)), is(200));
    cluster.stop(0);
    cluster.stop(1);
    int response = 200;
    for (int sequence = 2; response == 200 && sequence < MAX_CALLS; sequence++) {
      String body = OperatorDocuments.instance("ready", sequence);
      response = cluster.call(2, "PUT", "/instances/i-1", null, body).statusCode();
    }
    assertThat(response, is(503));
    assertThat(cluster.call(2, "DELETE", "/instances/i-1", null, null).statusCode(), is(503));
    assertThat(cluster.call(2, "GET", "/config", null, null).statusCode(), is(503));
  }

  private static boolean isRegistered(ControlPlaneMessage message, String id) {
    if (message instanceof ControlPlaneMessage.SessionDelta delta) {
      return delta.changed().stream().anyMatch(session -> session.id().equals(id));
    }
    return message instanceof ControlPlaneMessage.SessionSnapshot snapshot
        && snapshot.sessions().stream().anyMatch(session -> session.id().equals(id));
  }

  private static boolean isRemoved(ControlPlaneMessage message, String id) {
    return message instanceof ControlPlaneMessage.SessionDelta delta
        && delta.removedIds().contains(id);
  }

  private int putConfiguration(int agent, String base, String body) throws Exception {
    return cluster.callUntilAvailable(agent, "PUT", "/config", base, body).statusCode();
  }

  private int callInstance(int agent, String method, String id, String body) throws Exception {
    return cluster.callUntilAvailable(agent, method, "/instances/" + id, null, body).statusCode();
  }
}
