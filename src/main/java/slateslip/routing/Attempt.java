package slateslip.routing;

import slateslip.routing.placement.Backend;
import slateslip.routing.placement.Placement;

/** One try of a request at one backend, and what it means for the backend's load. */
final class Attempt {
  private final Placement.Choice choice;
  private final long sentMicros;
  private boolean started;
  private boolean ended;
  private boolean abandoned;

  /** An attempt that is sent now. */
  Attempt(Placement.Choice choice, long sentMicros) {
    this.choice = choice;
    this.sentMicros = sentMicros;
    choice.backend().sent();
  }

  Backend backend() {
    return choice.backend();
  }

  long sentMicros() {
    return sentMicros;
  }

  /** When its first event is expected, after it was sent. */
  long expectedMicros() {
    return choice.firstMicros();
  }

  /** Whether its response has begun. */
  boolean started() {
    return started;
  }

  boolean ended() {
    return ended;
  }

  /** Whether it was cancelled so that the request goes on elsewhere. */
  boolean abandoned() {
    return abandoned;
  }

  void abandon() {
    abandoned = true;
  }

  /** Its answer begins. */
  void start(long nowMicros) {
    if (started) {
      return;
    }
    started = true;
    backend().noLongerAwaiting();
    backend().healthMonitor().activity(nowMicros);
    if (choice.newTokens() > 0) {
      backend()
          .engine()
          .started(nowMicros, nowMicros - sentMicros, choice.firstMicros(), !backend().someAwait());
    }
  }

  /** It has ended. */
  void end(long nowMicros) {
    ended = true;
    if (!started) {
      backend().noLongerAwaiting();
      if (choice.newTokens() > 0) {
        backend().engine().givenUp(choice.readMicros(), !backend().someAwait(), nowMicros);
      }
    }
    backend().ended();
  }
}
