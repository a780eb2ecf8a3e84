package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DrainMonitorTest {
  private final Map<String, Long> sends = new HashMap<>(Map.of("a", 10L, "b", 20L));
  private final DrainMonitor watch = new DrainMonitor(500, sends::get);

  @Test
  void whatComesAfterTheGraceIsLateUntilTheServerIsBack() {
    watch.drainStartedAt("a", 7);
    assertEquals(7, watch.waitsFor());
    watch.notified(7, 1_000);
    assertEquals(0, watch.waitsFor());
    sends.put("a", 13L);
    watch.pass(1_500); // the grace has just passed and no more
    sends.put("a", 14L);
    watch.pass(1_501);
    assertEquals(0, watch.late());
    sends.put("a", 16L);
    assertEquals(2, watch.late());
    watch.drainStartedAt("a", 8); // it has gone meanwhile: the grace counts from the first telling
    watch.returns("a");
    sends.put("a", 99L);
    assertEquals(2, watch.late());
    assertEquals(1, watch.judged());
  }

  @Test
  void unacknowledgedDrainIsNotJudged() {
    watch.drainStartedAt("a", 7);
    watch.drainStartedAt("b", 9);
    watch.notified(8, 1_000);
    watch.pass(5_000);
    sends.put("b", 30L);
    watch.returns("b");
    assertEquals(0, watch.late());
    assertEquals(1, watch.judged());
  }
}
