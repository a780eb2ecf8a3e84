package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DrainMonitorTest {
  private final Map<String, Long> sends = new HashMap<>(Map.of("a", 10L, "b", 20L));
  private final DrainMonitor monitor = new DrainMonitor(500, sends::get);

  @Test
  void requestsAfterTheGraceAreLateUntilTheServerReturns() {
    monitor.drainStartedAt("a", 7);
    assertEquals(7, monitor.waitsFor());
    monitor.notified(7, 1_000);
    assertEquals(0, monitor.waitsFor());
    sends.put("a", 13L);
    monitor.pass(1_500); // the grace of 500 has not been exceeded
    sends.put("a", 14L);
    monitor.pass(1_501);
    assertEquals(0, monitor.late());
    sends.put("a", 16L);
    assertEquals(2, monitor.late());
    // The server is gone now; the grace still counts from the first notification.
    monitor.drainStartedAt("a", 8);
    monitor.returns("a");
    sends.put("a", 99L);
    assertEquals(2, monitor.late());
    assertEquals(1, monitor.judged());
  }

  @Test
  void unacknowledgedDrainIsNotJudged() {
    monitor.drainStartedAt("a", 7);
    monitor.drainStartedAt("b", 9);
    monitor.notified(8, 1_000);
    monitor.pass(5_000);
    sends.put("b", 30L);
    monitor.returns("b");
    assertEquals(0, monitor.late());
    assertEquals(1, monitor.judged());
  }
}
