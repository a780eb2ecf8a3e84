package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class ChangeTimesTest {
  @Test
  void laterListIncludesEarlierChanges() {
    ChangeTimes changeTimes = new ChangeTimes(2);
    changeTimes.expect(0, 100);
    changeTimes.expect(1, 101);
    changeTimes.applied(0, 100, 5_000);
    changeTimes.applied(0, 101, 7_000);
    changeTimes.applied(1, 101, 9_000);
    changeTimes.applied(1, 555, 10_000); // a list that was not announced by expect()
    assertEquals(new ChangeTimes.Spread(2, 2, 4, 8, 8), changeTimes.spread(0, List.of(1_000L)));
    assertEquals(
        new ChangeTimes.Spread(4, 4, 5, 8, 8), changeTimes.spread(0, List.of(1_000L, 2_000L)));
  }

  @Test
  void unreceivedChangesAreNotCounted() {
    ChangeTimes changeTimes = new ChangeTimes(3);
    changeTimes.expect(0, 100);
    changeTimes.applied(2, 100, 5_000);
    assertEquals(
        new ChangeTimes.Spread(1, 6, 4, 4, 4), changeTimes.spread(0, List.of(1_000L, 1_000L)));
  }

  @Test
  void changeBackToEarlierListIsRejected() {
    ChangeTimes changeTimes = new ChangeTimes(1);
    changeTimes.expect(0, 100);
    assertThrows(IllegalArgumentException.class, () -> changeTimes.expect(1, 100));
  }
}
