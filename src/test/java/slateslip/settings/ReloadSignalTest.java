package slateslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/**
 * Checks that a SIGHUP before the start of a program is not lost and that later ones are handled.
 */
class ReloadSignalTest {
  private static final int TIMEOUT_SECONDS = 20;
  private static final int SIGNALS = 2;

  @Test
  void signalBeforeStartRunsTheActionAtStartAndLaterSignalsRunItImmediately()
      throws InterruptedException {
    ReloadSignal signal = new ReloadSignal();
    Signal.raise(new Signal("HUP")); // Ends this process if no handler is installed.
    CountDownLatch reloads = new CountDownLatch(SIGNALS);
    signal.start(reloads::countDown);
    Signal.raise(new Signal("HUP"));
    assertThat(reloads.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
  }
}
