package slateslip.dataplane.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slateslip.distribution.QuotaReport;
import slateslip.eventloop.WakeUpCounter;
import slateslip.routing.AbortReason;
import slateslip.routing.RequestRouter;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterOutput;

/**
 * Tests the order in which a router receives inputs and the times at which the router is woken. The
 * test controls the clock.
 */
class RouterDriverTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<RouterInput> inputs = new ArrayList<>();
  private final List<RouterOutput> executed = new ArrayList<>();
  private Function<RouterInput, List<RouterOutput>> decisions = input -> List.of();
  private long micros;
  private final RouterDriver driver =
      new RouterDriver(
          new RequestRouter() {
            @Override
            public List<RouterOutput> handle(long nowMicros, RouterInput input) {
              inputs.add(input);
              return decisions.apply(input);
            }

            @Override
            public QuotaReport quotaReport(long nowMicros) {
              return QuotaReport.EMPTY;
            }
          },
          channel.eventLoop(),
          () -> micros,
          this::execute,
          new WakeUpCounter());

  RouterDriverTest() {
    channel.freezeTime();
  }

  @AfterEach
  void close() {
    channel.close();
  }

  private void execute(RouterOutput output) {
    executed.add(output);
    if (output instanceof RouterOutput.Probe) {
      driver.feed(new RouterInput.ClientDisconnected(1));
    }
  }

  private void advanceTime(long by) {
    micros += by;
    channel.advanceTimeBy(by, TimeUnit.MICROSECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Feeds an input for which the router requests a wake-up at this time. */
  private void requestWakeAt(long atMicros, RouterInput when) {
    decisions = input -> input == when ? List.of(new RouterOutput.WakeAt(atMicros)) : List.of();
    driver.feed(when);
  }

  private long wakeCount() {
    return inputs.stream().filter(RouterInput.Wake.class::isInstance).count();
  }

  @Test
  void nestedInputIsHandledAfterOutputs() {
    RouterOutput probe = new RouterOutput.Probe("b");
    RouterOutput end = new RouterOutput.AbortConnection(1, AbortReason.DEADLINE);
    decisions =
        input -> input instanceof RouterInput.ShutdownStarted ? List.of(probe, end) : List.of();
    driver.feed(new RouterInput.ShutdownStarted());
    assertThat(executed, contains(probe, end));
    assertThat(
        inputs, contains(new RouterInput.ShutdownStarted(), new RouterInput.ClientDisconnected(1)));
  }

  @Test
  void wakesAtEachRequestedTime() {
    decisions =
        input ->
            input instanceof RouterInput.ShutdownStarted
                ? List.of(new RouterOutput.WakeAt(500), new RouterOutput.WakeAt(200))
                : List.of();
    driver.feed(new RouterInput.ShutdownStarted());
    advanceTime(199);
    assertThat(wakeCount(), is(0L));
    advanceTime(1);
    assertThat(wakeCount(), is(1L));
    advanceTime(299);
    assertThat(wakeCount(), is(1L));
    advanceTime(1);
    assertThat(wakeCount(), is(2L));
    advanceTime(10_000);
    assertThat(wakeCount(), is(2L));
  }

  @Test
  void earlierWakeUpTimeDoesNotReplaceLaterOne() {
    requestWakeAt(500, new RouterInput.ShutdownStarted());
    requestWakeAt(100, new RouterInput.ClientDisconnected(1));
    advanceTime(100);
    assertThat(wakeCount(), is(1L));
    advanceTime(400);
    assertThat(wakeCount(), is(2L));
  }

  @Test
  void wakeUpTimeInThePastWakesImmediately() {
    micros = 1_000;
    requestWakeAt(10, new RouterInput.ShutdownStarted());
    advanceTime(1);
    assertThat(wakeCount(), is(1L));
  }

  @Test
  void replacedTimerIsCancelled() {
    requestWakeAt(500, new RouterInput.ShutdownStarted());
    requestWakeAt(100, new RouterInput.ClientDisconnected(1));
    channel.advanceTimeBy(99, TimeUnit.MICROSECONDS);
    assertThat(channel.runScheduledPendingTasks(), is(1_000L)); // only the earlier wake-up is set
  }

  @Test
  void periodicTurnPerformsDueWakeUpAndCancelsItsTimer() {
    requestWakeAt(500, new RouterInput.ShutdownStarted());
    micros = 499;
    driver.wakeIfDue();
    assertThat(wakeCount(), is(0L));
    micros = 500;
    driver.wakeIfDue();
    assertThat(wakeCount(), is(1L));
    advanceTime(10_000);
    assertThat(wakeCount(), is(1L));
  }
}
