package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks that each verdict of a fleet run can fail: each gets a result on which it has to complain.
 */
class FleetOutcomeTest {
  private static final FleetOutcome GOOD =
      new FleetOutcome(
          40, 40, 1_000, 0, 0, 0, 400, 400, 2, 2, 1_000, 0, 0, 0, 10, true, 5, 100, 42, 42);

  /** For each field, a value that has to fail its verdict, and the expected complaint. */
  private static final Map<String, Map.Entry<Integer, String>> BAD =
      Map.ofEntries(
          Map.entry("hollowAgree", Map.entry(39, "the last list is at 39 of 40 hollow agents")),
          Map.entry("hollowRequests", Map.entry(0, "no request came to the hollow agents")),
          Map.entry("hollowLost", Map.entry(1, "1 requests were lost by hollow agents")),
          Map.entry("lateSends", Map.entry(3, "3 sends came after the grace")),
          Map.entry("emptied", Map.entry(1, "1 times an agent lost its list")),
          Map.entry("hollowHad", Map.entry(399, "changes were had 399 of 400 times")),
          Map.entry("realAgree", Map.entry(1, "the last version is at 1 of 2 real agents")),
          Map.entry("realRequests", Map.entry(0, "no request came to the real agents")),
          Map.entry("realLost", Map.entry(2, "2 requests were lost by real agents")),
          Map.entry(
              "realLate",
              Map.entry(4, "4 requests came from real agents to servers that have left")),
          Map.entry("realDied", Map.entry(1, "1 real agents ended")),
          Map.entry("changesAfter", Map.entry(0, "no change after its return")),
          Map.entry("settingsAgree", Map.entry(41, "settings is at 41 of 42 agents")));

  @Test
  void eachVerdictFailsOnItsOwnFault() {
    assertEquals(List.of(), GOOD.complaints());
    BAD.forEach(
        (name, bad) -> {
          ObjectNode result = Json.MAPPER.valueToTree(GOOD);
          assertTrue(result.has(name), name);
          List<String> wrong = of(result.put(name, bad.getKey())).complaints();
          assertEquals(1, wrong.size(), name + " " + wrong);
          assertTrue(wrong.get(0).contains(bad.getValue()), wrong.get(0));
        });
  }

  @Test
  void runWithoutAnyChangeFails() {
    ObjectNode result = Json.MAPPER.valueToTree(GOOD);
    result.put("changes", 0).put("settingsSent", 0);
    assertEquals(List.of("discovery told no change: nothing was shown"), of(result).complaints());
  }

  private static FleetOutcome of(JsonNode result) {
    return Json.MAPPER.convertValue(result, FleetOutcome.class);
  }
}
