package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class FleetPlanTest {
  private static String errorMessage(String keys) {
    return assertThrows(
            BadExperiment.class,
            () -> {
              Keys read = Keys.of("file", "{\"name\":\"a\"," + keys + "}");
              FleetPlan.of(read);
              read.end();
            })
        .getMessage();
  }

  @Test
  void invalidPlanIsRejectedWithTheKey() {
    assertTrue(errorMessage("\"events\":\"kill\",\"hollows\":1").startsWith("file: hollows "));
    assertTrue(errorMessage("\"events\":\"earthquake\"").startsWith("file: events knows"));
    assertTrue(
        errorMessage("\"events\":\"kill\",\"hollow\":0,\"real\":0")
            .startsWith("file: hollow and real "));
    assertTrue(
        errorMessage("\"events\":\"kill\",\"servers\":5")
            .startsWith("file: servers is less than zones"));
  }

  @Test
  void routineChangesNeverLeadBackToEarlierList() {
    FleetServers servers = new FleetServers(FleetServers.made(4, 2));
    List<Long> seen =
        Stream.iterate(1_000L, now -> now + 1)
            .limit(24)
            .map(
                now -> {
                  servers.apply(List.of(servers.next(now)));
                  return servers.fingerprint();
                })
            .toList();
    assertEquals(24, seen.stream().distinct().count());
  }
}
