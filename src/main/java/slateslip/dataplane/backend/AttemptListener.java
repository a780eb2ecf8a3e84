package slateslip.dataplane.backend;

import slateslip.dataplane.stream.StreamEvent;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * Receives the events of one attempt. All methods are called on the event loop, and none is called
 * from within the call that started the attempt.
 */
public interface AttemptListener {
  /**
   * Called when the head of a stream has arrived; the events of the stream follow.
   *
   * @param load load that the backend reported in the head, or null if none
   */
  void streamStarted(BackendResponse head, BackendLoad load);

  /** Called when a complete event has arrived. */
  void eventReceived(StreamEvent event);

  /**
   * Called when a stream that has started has delivered no event for the idle timeout of the
   * request, and again after each further idle timeout without an event.
   */
  void streamIdle();

  /**
   * Called when all data that had arrived has been reported to this listener; the next data may
   * take long to arrive.
   */
  void readComplete();

  /** Called exactly once, after all other calls, when the attempt has ended. */
  void ended(AttemptResult result);
}
