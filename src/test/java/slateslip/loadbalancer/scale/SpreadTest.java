package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SpreadTest {
  private static final long MILLI = 1_000_000;

  @Test
  void agentHasVersionFromFirstCall() {
    Spread spread = new Spread();
    for (String agent : new String[] {"a", "b", "c", "d"}) {
      spread.has(agent, 1, 0);
    }
    spread.has("a", 2, 5 * MILLI);
    spread.has("b", 2, 7 * MILLI);
    spread.has("b", 2, 8 * MILLI);
    spread.has("c", 3, 9 * MILLI);
    assertEquals(new Spread.Times(4, 3, 4, Double.NaN, Double.NaN), spread.of(2, 3 * MILLI));
    spread.has("d", 2, 11 * MILLI);
    assertEquals(new Spread.Times(4, 4, 4, 8, 8), spread.of(2, 3 * MILLI));
    spread.forgetBefore(3);
    assertEquals(4, spread.pending());
  }
}
