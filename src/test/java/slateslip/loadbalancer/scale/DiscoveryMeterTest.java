package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DiscoveryMeterTest {
  private static final long SECOND = 1_000_000_000;

  private static DiscoveryStandIn.Counts calls(long calls) {
    return new DiscoveryStandIn.Counts(1, calls, 0, 0, 0, 0, 0, 10 * calls, 100 * calls);
  }

  @Test
  void sumsIncludeEndedProcess() {
    DiscoveryMeter meter = new DiscoveryMeter();
    meter.sample(0, calls(0), 0.5);
    meter.sample(SECOND, calls(7), 1);
    meter.ended();
    meter.sample(2 * SECOND, calls(3), 0.25);
    assertEquals(10, meter.sums().calls());
    assertEquals(1_100, meter.sums().bytes());
    assertEquals(1.25, meter.sums().cpuSeconds());
  }

  @Test
  void peakIsTheBusiestSecond() {
    DiscoveryMeter meter = new DiscoveryMeter();
    long half = SECOND / 2;
    long[] calls = {0, 10, 110, 210, 215, 220};
    for (int i = 0; i < calls.length; i++) {
      meter.sample(i * half, calls(calls[i]), 0);
    }
    assertEquals(200, meter.takePeak());
    meter.sample(calls.length * half, calls(221), 0);
    assertEquals(1, meter.takePeak());
  }
}
